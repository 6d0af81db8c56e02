#include "citronlane/json/value.h"

#include <algorithm>

namespace citronlane {

JsonValue JsonValue::Bool(bool value) {
  JsonValue result;
  result.type_ = Type::kBool;
  result.bool_ = value;
  return result;
}

JsonValue JsonValue::Number(double value) {
  JsonValue result;
  result.type_ = Type::kNumber;
  result.number_ = value;
  return result;
}

JsonValue JsonValue::String(std::string_view value) {
  JsonValue result;
  result.type_ = Type::kString;
  result.string_ = std::string(value);
  return result;
}

JsonValue JsonValue::Array() {
  JsonValue result;
  result.type_ = Type::kArray;
  return result;
}

JsonValue JsonValue::Object() {
  JsonValue result;
  result.type_ = Type::kObject;
  return result;
}

const JsonValue* JsonValue::Find(std::string_view name) const {
  const auto found = std::find_if(
      members_.begin(), members_.end(),
      [name](const Member& member) { return member.first == name; });
  return found == members_.end() ? nullptr : &found->second;
}

void JsonValue::Set(std::string_view name, JsonValue value) {
  for (Member& member : members_) {
    if (member.first == name) {
      member.second = std::move(value);
      return;
    }
  }
  members_.emplace_back(std::string(name), std::move(value));
}

void JsonValue::AppendMember(std::string name, JsonValue value) {
  members_.emplace_back(std::move(name), std::move(value));
}

void JsonValue::Remove(std::string_view name) {
  members_.erase(std::remove_if(members_.begin(), members_.end(),
                                [name](const Member& member) {
                                  return member.first == name;
                                }),
                 members_.end());
}

void JsonValue::Append(JsonValue value) {
  items_.push_back(std::move(value));
}

}  // namespace citronlane
