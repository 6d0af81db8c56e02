#ifndef CITRONLANE_SETTINGS_CONTROL_SETTINGS_H_
#define CITRONLANE_SETTINGS_CONTROL_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/control/control_options.h"
#include "citronlane/json/fault.h"
#include "citronlane/observe/log_options.h"

namespace citronlane {

/// Settings file of a control process.
struct ControlSettings {
  ControlOptions control_;
  LogOptions log_;
};

/// Parses and validates settings (JSON with comments). `path` is the file that
/// they come from; relative paths in them are resolved against its folder. The
/// files of TLS are read and the permissions of private keys checked. On
/// failure returns `std::nullopt` and sets `faults` to all validation errors,
/// in document order. `faults` must not be null. Thread safe.
std::optional<ControlSettings> ParseControlSettings(std::string_view text,
                                                    const std::string& path,
                                                    std::vector<Fault>* faults);

}  // namespace citronlane

#endif  // CITRONLANE_SETTINGS_CONTROL_SETTINGS_H_
