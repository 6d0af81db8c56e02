#ifndef CITRONLANE_RELAY_LOG_LIMIT_H_
#define CITRONLANE_RELAY_LOG_LIMIT_H_

#include <string_view>

namespace citronlane {

class EventLog;
struct ServerLimit;

/// Logs that the limit of a server has changed. `source` says where that was
/// learned: "reply", or the address of the gateway that was told. Thread safe
/// if the log is.
void LogLimit(EventLog* log, const ServerLimit& limit, std::string_view source);

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_LOG_LIMIT_H_
