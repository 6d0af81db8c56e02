#ifndef CITRONLANE_ADMISSION_DETAIL_TARGET_MARGIN_H_
#define CITRONLANE_ADMISSION_DETAIL_TARGET_MARGIN_H_

namespace citronlane {

/// Learns how far estimates of one class can be trusted: the part of a target
/// that an estimate may use up. Moves so that admitted requests meet the target
/// as often as was declared. Not thread safe.
class TargetMargin {
 public:
  /// `attainment` is the declared share of requests, 0 to 1.
  explicit TargetMargin(double attainment);

  void set_attainment(double attainment) { attainment_ = attainment; }
  /// An admitted request whose estimate had used `used` of its target ended.
  void OnFinish(double used, bool met);
  double value() const { return value_; }

 private:
  double attainment_;
  double value_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_TARGET_MARGIN_H_
