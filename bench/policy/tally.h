#ifndef CITRONLANE_BENCH_POLICY_TALLY_H_
#define CITRONLANE_BENCH_POLICY_TALLY_H_

#include <cstdint>

namespace citronlane {

/// Numbers of requests of one kind by their result.
struct Tally {
  uint64_t offered_ = 0;
  uint64_t admitted_ = 0;
  uint64_t met_ = 0;
  /// Admitted, but without a complete response.
  uint64_t failed_ = 0;

  void Add(const Tally& other) {
    offered_ += other.offered_;
    admitted_ += other.admitted_;
    met_ += other.met_;
    failed_ += other.failed_;
  }

  /// Ratio of requests that met the target to those offered; a refusal counts
  /// as a miss.
  double OfOffered() const { return Share(met_, offered_); }
  /// Ratio of requests that met the target to those admitted.
  double OfAdmitted() const { return Share(met_, admitted_); }

 private:
  static double Share(uint64_t part, uint64_t whole) {
    return whole == 0 ? 1
                      : static_cast<double>(part) / static_cast<double>(whole);
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_TALLY_H_
