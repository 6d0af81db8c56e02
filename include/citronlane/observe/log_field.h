#ifndef CITRONLANE_OBSERVE_LOG_FIELD_H_
#define CITRONLANE_OBSERVE_LOG_FIELD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

/// One name and value of a structured log line. Refers to the name, which must
/// outlive it, and copies the value.
class LogField {
 public:
  LogField(std::string_view name, std::string_view value)
      : name_(name), value_(value) {}
  LogField(std::string_view name, const char* value)
      : name_(name), value_(value) {}
  LogField(std::string_view name, const std::string& value)
      : name_(name), value_(value) {}
  LogField(std::string_view name, uint64_t value)
      : name_(name), value_(std::to_string(value)), is_number_(true) {}
  LogField(std::string_view name, int64_t value)
      : name_(name), value_(std::to_string(value)), is_number_(true) {}
  LogField(std::string_view name, int value)
      : LogField(name, static_cast<int64_t>(value)) {}
  LogField(std::string_view name, uint32_t value)
      : LogField(name, static_cast<uint64_t>(value)) {}
  /// Written in milliseconds, rounded towards zero.
  LogField(std::string_view name, Duration value)
      : LogField(
            name,
            static_cast<int64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(value)
                    .count())) {}

  std::string_view name() const { return name_; }
  const std::string& value() const { return value_; }
  bool is_number() const { return is_number_; }

 private:
  std::string_view name_;
  std::string value_;
  bool is_number_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_OBSERVE_LOG_FIELD_H_
