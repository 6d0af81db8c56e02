#ifndef CITRONLANE_TESTS_FAKES_RUN_RECORD_H_
#define CITRONLANE_TESTS_FAKES_RUN_RECORD_H_

#include <cstddef>
#include <string>

namespace citronlane::fakes {

/// One call that a fake received.
struct RunRecord {
  /// Unix seconds when the call had been read.
  double time_ = 0;
  std::string attempt_;
  /// Digest of the caller's text the call was for.
  std::string text_;
  std::string idempotency_key_;
  /// "fresh", "resume", "continue", "order" or "probe".
  std::string mode_ = "fresh";
  /// Whether the server did the work.
  bool ran_ = false;
  /// Whether the inputs belonged to different requests.
  bool mixed_ = false;
  /// Seconds since the server began to leave; below 0 when it was not leaving.
  double left_for_ = -1;
  /// Engines: token the stream began and ended at.
  size_t from_token_ = 0;
  size_t to_token_ = 0;
  /// Whether the reply was written whole.
  bool answered_ = false;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_RUN_RECORD_H_
