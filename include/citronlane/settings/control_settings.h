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

/// Everything a control process reads from its settings file.
struct ControlSettings {
  ControlOptions control_;
  LogOptions log_;
};

/// Reads and checks settings (JSON with comments). `path` names the file they
/// come from: relative files in them are below its folder. Returns nothing and
/// fills `faults` with all faults, in document order, when any is wrong; key
/// files are read and their permissions checked. `faults` must not be null.
/// Thread safe.
std::optional<ControlSettings> ParseControlSettings(std::string_view text,
                                                    const std::string& path,
                                                    std::vector<Fault>* faults);

}  // namespace citronlane

#endif  // CITRONLANE_SETTINGS_CONTROL_SETTINGS_H_
