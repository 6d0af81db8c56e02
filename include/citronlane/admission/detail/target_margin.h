#ifndef CITRONLANE_ADMISSION_DETAIL_TARGET_MARGIN_H_
#define CITRONLANE_ADMISSION_DETAIL_TARGET_MARGIN_H_

namespace citronlane {

/// Learns the margin of one class: the fraction of the target up to which an
/// estimate is accepted. Adjusts it so that the declared fraction of admitted
/// requests meets the target. Not thread safe.
class TargetMargin {
 public:
  /// `attainment` is the declared fraction of requests that meet the target, 0
  /// to 1.
  explicit TargetMargin(double attainment);

  void set_attainment(double attainment) { attainment_ = attainment; }
  /// An admitted request ended; `met` is whether it met its target. `used` is
  /// its estimate as a fraction of the target.
  void OnFinish(double used, bool met);
  /// The margin.
  double value() const { return value_; }

 private:
  double attainment_;
  double value_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ADMISSION_DETAIL_TARGET_MARGIN_H_
