#ifndef CITRONLANE_TESTS_FAKES_FAULTS_H_
#define CITRONLANE_TESTS_FAKES_FAULTS_H_

#include <cstddef>
#include <cstdint>

namespace citronlane::fakes {

/// Injected faults of a fake server. Members without another description are
/// the number of next calls that are affected; the others apply until changed.
struct Faults {
  /// Replies 500 after running the call.
  int64_t fail_ = 0;
  /// Replies 503 without running the call.
  int64_t reject_ = 0;
  /// Closes the connection after the call was read and run.
  int64_t close_after_read_ = 0;
  /// Closes the connection without running the call.
  int64_t close_before_run_ = 0;
  /// Replies under the id of another request's attempt.
  int64_t wrong_id_ = 0;
  /// Replies with invalid JSON.
  int64_t garbage_ = 0;
  /// Replies with a body of 64 MiB.
  int64_t oversize_ = 0;
  /// Closes the connection before the stream's token `cut_at_`.
  int64_t cut_stream_ = 0;
  size_t cut_at_ = 0;
  /// Time before each reply, and between two tokens; applies until changed.
  int64_t slow_ms_ = 0;
  int64_t pace_us_ = 0;
  /// While set, replies wait, streams before token `hold_at_`.
  bool hold_ = false;
  size_t hold_at_ = 0;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_FAULTS_H_
