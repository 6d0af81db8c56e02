#ifndef CITRONLANE_PROCESS_DETAIL_JSON_FIGURES_H_
#define CITRONLANE_PROCESS_DETAIL_JSON_FIGURES_H_

#include <map>
#include <string>

#include "citronlane/json/value.h"

namespace citronlane::detail {

/// Returns the figures of a refusal as a JSON object, sorted by name. Thread
/// safe.
inline JsonValue FiguresToJson(const std::map<std::string, double>& figures) {
  JsonValue object = JsonValue::Object();
  for (const auto& [name, figure] : figures) {
    object.AppendMember(name, JsonValue::Number(figure));
  }
  return object;
}

}  // namespace citronlane::detail

#endif  // CITRONLANE_PROCESS_DETAIL_JSON_FIGURES_H_
