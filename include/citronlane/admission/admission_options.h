#ifndef CITRONLANE_ADMISSION_ADMISSION_OPTIONS_H_
#define CITRONLANE_ADMISSION_ADMISSION_OPTIONS_H_

namespace citronlane {

/// Switches for the mechanisms of admission, so that the effect of each can be
/// measured.
struct AdmissionOptions {
  bool early_refusal_ = true;
  bool refuse_pool_down_ = true;
  bool fair_share_ = true;
  bool batch_yields_ = true;
  bool spend_limits_ = true;
  /// Fraction of a class's hourly limit that one gateway may spend per hour
  /// before its first lease. Safe up to one over the number of gateways.
  double unleased_spend_fraction_ = 1.0 / 16;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_ADMISSION_OPTIONS_H_
