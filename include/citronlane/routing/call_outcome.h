#ifndef CITRONLANE_ROUTING_CALL_OUTCOME_H_
#define CITRONLANE_ROUTING_CALL_OUTCOME_H_

#include <string_view>

namespace citronlane {

/// How one stage call to a backend server ended.
enum class CallOutcome {
  kSuccess,
  /// No connection was made: nothing ran.
  kConnectFailed,
  /// The server replied with 429 or 503.
  kRejected,
  /// The server replied with another 5xx, or with a reply that can not be used.
  kServerError,
  /// The connection closed after bytes of the call were sent.
  kClosedAfterSend,
  /// The call's share of the deadline passed.
  kTimeout,
  /// The gateway cancelled the call: no evidence about the server.
  kCancelled,
  /// The reply echoed the id of another attempt.
  kWrongId,
};

/// Returns the stable snake_case name, e.g. "connect_failed". Thread safe.
std::string_view ToString(CallOutcome outcome);

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CALL_OUTCOME_H_
