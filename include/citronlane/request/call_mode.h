#ifndef CITRONLANE_REQUEST_CALL_MODE_H_
#define CITRONLANE_REQUEST_CALL_MODE_H_

namespace citronlane {

/// How a stage call relates to the calls before it.
enum class CallMode {
  /// Runs the stage from its start.
  kFresh,
  /// Takes up a broken stream at an offset on the server that holds it.
  kResume,
  /// Continues elsewhere from the text that was already sent.
  kContinue,
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_CALL_MODE_H_
