#include "fakes/json.h"

namespace citronlane::fakes {

std::string StringAt(const JsonView& object,
                     const char* name,
                     std::string_view fallback) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsString()) {
    return std::string(fallback);
  }
  return {found->value.GetString(), found->value.GetStringLength()};
}

int64_t NumberAt(const JsonView& object, const char* name, int64_t fallback) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsNumber()) {
    return fallback;
  }
  return static_cast<int64_t>(found->value.GetDouble());
}

bool BoolAt(const JsonView& object, const char* name, bool fallback) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsBool()) {
    return fallback;
  }
  return found->value.GetBool();
}

void Write(JsonWriter* writer, std::string_view text) {
  writer->String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

}  // namespace citronlane::fakes
