#ifndef CITRONLANE_REQUEST_CALL_MODE_H_
#define CITRONLANE_REQUEST_CALL_MODE_H_

namespace citronlane {

/// How a stage call relates to earlier calls of the stage.
enum class CallMode {
  /// Runs the stage from its start.
  kFresh,
  /// Resumes a broken stream at an offset, on the server that holds it.
  kResume,
  /// Continues on any other server from the text that was already received.
  kContinue,
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_CALL_MODE_H_
