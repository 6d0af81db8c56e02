#ifndef CITRONLANE_OBSERVE_LOG_OPTIONS_H_
#define CITRONLANE_OBSERVE_LOG_OPTIONS_H_

#include <string>

#include "citronlane/observe/log_level.h"

namespace citronlane {

/// Level, format and destination of log lines.
struct LogOptions {
  enum class Layout { kText, kJson };

  /// Lines below this level are dropped.
  LogLevel level_ = LogLevel::kInfo;
  Layout layout_ = Layout::kText;
  /// File to append to; empty writes to stderr.
  std::string file_;
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LOG_OPTIONS_H_
