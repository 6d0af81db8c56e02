#ifndef CITRONLANE_OBSERVE_LOG_LEVEL_H_
#define CITRONLANE_OBSERVE_LOG_LEVEL_H_

namespace citronlane {

/// How much a log line matters.
enum class LogLevel { kDebug, kInfo, kWarn, kError };

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LOG_LEVEL_H_
