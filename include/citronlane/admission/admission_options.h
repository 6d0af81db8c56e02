#ifndef CITRONLANE_ADMISSION_ADMISSION_OPTIONS_H_
#define CITRONLANE_ADMISSION_ADMISSION_OPTIONS_H_

namespace citronlane {

/// Switches of admission, so that each mechanism can be measured without it.
struct AdmissionOptions {
  bool early_refusal_ = true;
  bool refuse_pool_down_ = true;
  bool fair_share_ = true;
  bool batch_yields_ = true;
  bool spend_limits_ = true;
  /// Part of a class's hourly limit that one gateway may spend before its first
  /// lease; at most one over the number of gateways is safe.
  double unleased_spend_part_ = 1.0 / 16;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_ADMISSION_OPTIONS_H_
