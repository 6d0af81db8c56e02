#include "citronlane/json/parse.h"

namespace citronlane {

void ApplyMergePatch(const JsonValue& patch, JsonValue* target) {
  if (!patch.IsObject()) {
    *target = patch;
    return;
  }
  if (!target->IsObject()) {
    *target = JsonValue::Object();
    target->set_line(patch.line());
  }
  for (const auto& [name, value] : patch.members()) {
    if (value.IsNull()) {
      target->Remove(name);
      continue;
    }
    const JsonValue* present = target->Find(name);
    JsonValue merged = present == nullptr ? JsonValue() : *present;
    ApplyMergePatch(value, &merged);
    target->Set(name, std::move(merged));
  }
}

}  // namespace citronlane
