#ifndef CITRONLANE_OBSERVE_LOGGER_H_
#define CITRONLANE_OBSERVE_LOGGER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/observe/log_level.h"

namespace citronlane {

struct LogOptions;

/// Writes the log lines of one part of the process. The part's name is the
/// fixed prefix of each line. Messages are short sentences; they never hold a
/// caller's text or key. Copies write to the same place. Thread safe.
class Logger {
 public:
  /// `part` is one lower-case word, e.g. "gateway".
  explicit Logger(std::string_view part);

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

/// Sets up logging for the process; until then nothing below kWarn is written,
/// and that to stderr. May be called again. Returns false and the reason when
/// the file can't be written. Not thread safe; call from the main thread.
bool ConfigureLogging(const LogOptions& options, Error* error);

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LOGGER_H_
