#ifndef CITRONLANE_TESTS_FAKES_FAULTS_H_
#define CITRONLANE_TESTS_FAKES_FAULTS_H_

#include <cstddef>
#include <cstdint>

namespace citronlane::fakes {

/// What a fake does wrong. Counts say how many of the next calls are hit;
/// the rest holds until it is changed.
struct Faults {
  /// Answer 500 after running; 503 without running.
  int64_t fail_ = 0;
  int64_t reject_ = 0;
  /// Close after the call was read and run; close without running it.
  int64_t close_after_read_ = 0;
  int64_t close_before_run_ = 0;
  int64_t wrong_id_ = 0;
  int64_t garbage_ = 0;
  int64_t oversize_ = 0;
  /// Cut the stream before the token of `cut_at_`.
  int64_t cut_stream_ = 0;
  size_t cut_at_ = 0;
  int64_t slow_ms_ = 0;
  int64_t pace_us_ = 0;
  /// Replies, or the stream before token `hold_at_`, wait while this is set.
  bool hold_ = false;
  size_t hold_at_ = 0;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_FAULTS_H_
