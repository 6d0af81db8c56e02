#ifndef CITRONLANE_OBSERVE_LOGGER_H_
#define CITRONLANE_OBSERVE_LOGGER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/observe/log_level.h"

namespace citronlane {

struct LogOptions;

/// Writes the log lines of one component, whose name is the prefix of each
/// line. Messages are short sentences and must never contain a caller's text or
/// key. Copies write to the same destination. Thread safe.
class Logger {
 public:
  /// `component` is one lower-case word, e.g. "gateway".
  explicit Logger(std::string_view component);

  void Debug(std::string_view message) const;
  void Info(std::string_view message) const;
  void Warn(std::string_view message) const;
  void Error(std::string_view message) const;
  void Write(LogLevel level, std::string_view message) const;

  /// Whether a line of this level would be written.
  bool IsEnabled(LogLevel level) const;

  /// Returns a hook that writes each line at kInfo.
  std::function<void(std::string_view)> Hook() const;

 private:
  class Impl;
  std::shared_ptr<const Impl> impl_;
};

/// Configures logging for the process. Until then, lines of kWarn and above are
/// written to stderr. May be called again. Returns false and sets `error` when
/// the file can't be opened. Not thread safe; to be called from the main
/// thread.
bool ConfigureLogging(const LogOptions& options, Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LOGGER_H_
