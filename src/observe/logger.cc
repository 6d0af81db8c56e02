#include "citronlane/observe/logger.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <fstream>
#include <string>
#include <utility>

#include "citronlane/json/parse.h"
#include "citronlane/observe/log_options.h"

namespace citronlane {
namespace {

constexpr char kRootName[] = "citronlane";
constexpr char kTextPattern[] = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %c{1}: %m%n";
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%S.%qZ";

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

// Writes one JSON object per line.
class JsonLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    JsonValue line = JsonValue::Object();
    line.Set("time", JsonValue::String(log4cplus::helpers::getFormattedTime(
                         kTimeFormat, event.getTimestamp(), true)));
    line.Set("level",
             JsonValue::String(log4cplus::getLogLevelManager().toString(
                 event.getLogLevel())));
    const std::string& name = event.getLoggerName();
    line.Set("part", JsonValue::String(name.substr(name.rfind('.') + 1)));
    line.Set("message", JsonValue::String(event.getMessage()));
    output << WriteJson(line) << '\n';
  }
};

log4cplus::Logger Root() {
  static const log4cplus::Initializer initializer;
  return log4cplus::Logger::getInstance(kRootName);
}

log4cplus::SharedAppenderPtr MakeAppender(const LogOptions& options) {
  log4cplus::SharedAppenderPtr appender;
  if (options.file_.empty()) {
    constexpr bool kLogToStderr = true;
    constexpr bool kFlush = true;
    appender = new log4cplus::ConsoleAppender(kLogToStderr, kFlush);
  } else {
    appender = new log4cplus::FileAppender(options.file_, std::ios::app);
  }
  if (options.layout_ == LogOptions::Layout::kJson) {
    appender->setLayout(std::make_unique<JsonLayout>());
  } else {
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(kTextPattern));
  }
  return appender;
}

}  // namespace

class Logger::Impl {
 public:
  explicit Impl(std::string_view component)
      : logger_(Root().getInstance(std::string(kRootName) + "." +
                                   std::string(component))) {}
  const log4cplus::Logger& logger() const { return logger_; }

 private:
  const log4cplus::Logger logger_;
};

Logger::Logger(std::string_view component)
    : impl_(std::make_shared<const Impl>(component)) {}

void Logger::Debug(std::string_view message) const {
  Write(LogLevel::kDebug, message);
}

void Logger::Info(std::string_view message) const {
  Write(LogLevel::kInfo, message);
}

void Logger::Warn(std::string_view message) const {
  Write(LogLevel::kWarn, message);
}

void Logger::Error(std::string_view message) const {
  Write(LogLevel::kError, message);
}

void Logger::Write(LogLevel level, std::string_view message) const {
  if (IsEnabled(level)) {
    impl_->logger().forcedLog(ToLog4cplus(level), std::string(message));
  }
}

bool Logger::IsEnabled(LogLevel level) const {
  return impl_->logger().isEnabledFor(ToLog4cplus(level));
}

std::function<void(std::string_view)> Logger::Hook() const {
  return [logger = *this](std::string_view line) { logger.Info(line); };
}

bool ConfigureLogging(const LogOptions& options, Error* error) {
  if (!options.file_.empty() &&
      !std::ofstream(options.file_, std::ios::app).is_open()) {
    error->message_ = "can not write the log file " + options.file_;
    return false;
  }
  log4cplus::Logger root = Root();
  root.removeAllAppenders();
  root.setAdditivity(false);
  root.addAppender(MakeAppender(options));
  root.setLogLevel(ToLog4cplus(options.level_));
  return true;
}

}  // namespace citronlane
