#ifndef CITRONLANE_OBSERVE_LOG_LEVEL_H_
#define CITRONLANE_OBSERVE_LOG_LEVEL_H_

namespace citronlane {

/// Severity of a log line, in ascending order.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LOG_LEVEL_H_
