#ifndef CITRONLANE_TESTS_FAKES_RUN_RECORD_H_
#define CITRONLANE_TESTS_FAKES_RUN_RECORD_H_

#include <cstddef>
#include <string>

namespace citronlane::fakes {

/// Record of a call that a fake received.
struct RunRecord {
  /// Unix time in seconds at which the call was read.
  double time_ = 0;
  std::string attempt_;
  /// Digest of the caller's text for which the call was made.
  std::string text_;
  std::string idempotency_key_;
  /// "fresh", "resume", "continue", "order" or "probe".
  std::string mode_ = "fresh";
  /// Whether the server ran the call.
  bool ran_ = false;
  /// Whether the inputs belonged to different requests.
  bool mixed_ = false;
  /// Seconds since the server began to drain; below 0 when it was not draining.
  double draining_for_ = -1;
  /// Engines: first token of the stream, and the one before which it ended.
  size_t from_token_ = 0;
  size_t to_token_ = 0;
  /// Whether the reply was written completely.
  bool answered_ = false;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_RUN_RECORD_H_
