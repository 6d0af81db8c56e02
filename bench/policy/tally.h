#ifndef CITRONLANE_BENCH_POLICY_TALLY_H_
#define CITRONLANE_BENCH_POLICY_TALLY_H_

#include <cstdint>

namespace citronlane {

/// Counts of requests of one kind by outcome.
struct Tally {
  uint64_t offered_ = 0;
  uint64_t admitted_ = 0;
  uint64_t met_ = 0;
  /// Admitted, but without a full response.
  uint64_t failed_ = 0;

  void Add(const Tally& other) {
    offered_ += other.offered_;
    admitted_ += other.admitted_;
    met_ += other.met_;
    failed_ += other.failed_;
  }

  /// Fraction of the offered requests that met the target; a refusal is a miss.
  double MetOfOffered() const { return Ratio(met_, offered_); }
  /// Fraction of the admitted requests that met the target.
  double MetOfAdmitted() const { return Ratio(met_, admitted_); }

 private:
  static double Ratio(uint64_t count, uint64_t total) {
    return total == 0 ? 1
                      : static_cast<double>(count) / static_cast<double>(total);
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_TALLY_H_
