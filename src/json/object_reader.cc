#include "citronlane/json/object_reader.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

constexpr std::string_view kNameRule =
    "1 to 64 letters, digits, '.', '_' or '-'";
constexpr std::string_view kEndpointRule =
    "\"IP:port\" with an IP number (IPv6 in brackets) and a port from 1 to "
    "65535";

std::string Join(absl::Span<const std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) {
    text += (text.empty() ? "" : ", ") + std::string(part);
  }
  return text;
}

std::string NumberText(double number) {
  return WriteJson(JsonValue::Number(number));
}

std::string_view TypeName(const JsonValue& value) {
  switch (value.type()) {
    case JsonValue::Type::kNull:
      return "null";
    case JsonValue::Type::kBool:
      return "true or false";
    case JsonValue::Type::kNumber:
      return "a number";
    case JsonValue::Type::kString:
      return "a string";
    case JsonValue::Type::kArray:
      return "an array";
    case JsonValue::Type::kObject:
      return "an object";
  }
  return "unknown";
}

std::string WrongType(std::string_view wanted, const JsonValue& value) {
  return "must be " + std::string(wanted) + ", is " +
         std::string(TypeName(value));
}

}  // namespace

ObjectReader::ObjectReader(const JsonValue& value,
                           std::string path,
                           std::vector<Fault>* faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
  if (!value_.IsObject()) {
    AddFault("", WrongType("an object", value_));
  }
}

bool ObjectReader::String(std::string_view key, Need need, std::string* out) {
  const std::string* text = GetString(key, need);
  if (text == nullptr) {
    return false;
  }
  if (text->empty()) {
    AddFault(key, "must not be empty");
    return false;
  }
  *out = *text;
  return true;
}

bool ObjectReader::Choice(std::string_view key,
                          Need need,
                          absl::Span<const std::string_view> allowed,
                          std::string* out) {
  const std::string* text = GetString(key, need);
  if (text == nullptr) {
    return false;
  }
  if (std::find(allowed.begin(), allowed.end(), *text) == allowed.end()) {
    AddFault(key, "must be one of: " + Join(allowed));
    return false;
  }
  *out = *text;
  return true;
}

bool ObjectReader::Name(std::string_view key, Need need, std::string* out) {
  const std::string* text = GetString(key, need);
  if (text == nullptr) {
    return false;
  }
  if (!IsName(*text)) {
    AddFault(key, "must be " + std::string(kNameRule));
    return false;
  }
  *out = *text;
  return true;
}

bool ObjectReader::IpAddress(std::string_view key,
                             Need need,
                             std::string* out) {
  const std::string* text = GetString(key, need);
  if (text == nullptr) {
    return false;
  }
  if (!IsIpAddress(*text)) {
    AddFault(key, "must be an IP number; host names are not allowed");
    return false;
  }
  *out = *text;
  return true;
}

bool ObjectReader::Endpoint(std::string_view key, Need need, std::string* out) {
  const std::string* text = GetString(key, need);
  if (text == nullptr) {
    return false;
  }
  if (!IsEndpoint(*text)) {
    AddFault(key, "must be " + std::string(kEndpointRule));
    return false;
  }
  *out = *text;
  return true;
}

bool ObjectReader::Bool(std::string_view key, bool* out) {
  const JsonValue* member = GetMember(key, Need::kOptional);
  if (member == nullptr) {
    return false;
  }
  if (!member->IsBool()) {
    AddFault(key, WrongType("true or false", *member));
    return false;
  }
  *out = member->AsBool();
  return true;
}

bool ObjectReader::Number(std::string_view key,
                          Need need,
                          double low,
                          double high,
                          double* out) {
  const JsonValue* member = GetMember(key, need);
  if (member == nullptr) {
    return false;
  }
  const std::string range =
      "a number from " + NumberText(low) + " to " + NumberText(high);
  if (!member->IsNumber()) {
    AddFault(key, WrongType(range, *member));
    return false;
  }
  if (member->AsNumber() < low || member->AsNumber() > high) {
    AddFault(key,
             "must be " + range + ", is " + NumberText(member->AsNumber()));
    return false;
  }
  *out = member->AsNumber();
  return true;
}

bool ObjectReader::WholeNumber(std::string_view key,
                               Need need,
                               uint64_t low,
                               uint64_t high,
                               double* out) {
  double number = 0;
  if (!Number(key, need, static_cast<double>(low), static_cast<double>(high),
              &number)) {
    return false;
  }
  if (std::trunc(number) != number) {
    AddFault(key, "must be a whole number");
    return false;
  }
  *out = number;
  return true;
}

bool ObjectReader::Milliseconds(std::string_view key,
                                Need need,
                                uint64_t low,
                                uint64_t high,
                                Duration* out) {
  int64_t milliseconds = 0;
  if (!Whole(key, need, low, high, &milliseconds)) {
    return false;
  }
  *out = std::chrono::milliseconds(milliseconds);
  return true;
}

bool ObjectReader::Strings(std::string_view key,
                           Need need,
                           std::vector<std::string>* out) {
  const auto is_allowed = [](std::string_view text) { return !text.empty(); };
  return StringList(key, need, "a string, not empty", is_allowed, out);
}

bool ObjectReader::Endpoints(std::string_view key,
                             Need need,
                             std::vector<std::string>* out) {
  return StringList(key, need, kEndpointRule, IsEndpoint, out);
}

bool ObjectReader::StringList(
    std::string_view key,
    Need need,
    std::string_view rule,
    const std::function<bool(std::string_view)>& is_allowed,
    std::vector<std::string>* out) {
  const JsonValue* member = GetMember(key, need);
  if (member == nullptr) {
    return false;
  }
  if (!member->IsArray()) {
    AddFault(key, WrongType("an array of strings", *member));
    return false;
  }
  std::vector<std::string> texts;
  std::set<std::string> seen;
  for (size_t i = 0; i < member->items().size(); ++i) {
    const JsonValue& item = member->items()[i];
    const std::string path = PathOf(key) + "[" + std::to_string(i) + "]";
    if (!item.IsString() || !is_allowed(item.AsString())) {
      faults_->push_back({path, item.line(), "must be " + std::string(rule)});
    } else if (!seen.insert(item.AsString()).second) {
      faults_->push_back({path, item.line(), "appears twice in this list"});
    } else {
      texts.push_back(item.AsString());
    }
  }
  *out = std::move(texts);
  return true;
}

bool ObjectReader::Object(std::string_view key,
                          Need need,
                          const std::function<void(ObjectReader&)>& read) {
  const JsonValue* member = GetMember(key, need);
  if (member == nullptr) {
    return false;
  }
  ObjectReader reader(*member, PathOf(key), faults_);
  if (!member->IsObject()) {
    return false;
  }
  read(reader);
  reader.Finish();
  return true;
}

bool ObjectReader::Entries(std::string_view key,
                           Need need,
                           const EntryHook& read) {
  const JsonValue* member = GetMember(key, need);
  if (member == nullptr) {
    return false;
  }
  if (!member->IsObject()) {
    AddFault(key, WrongType("an object keyed by name", *member));
    return false;
  }
  for (const auto& [name, entry] : member->members()) {
    const std::string path = PathOf(key) + "." + name;
    if (!IsName(name)) {
      faults_->push_back(
          {path, entry.line(), "the name must be " + std::string(kNameRule)});
    }
    ObjectReader reader(entry, path, faults_);
    if (entry.IsObject()) {
      read(name, reader);
      reader.Finish();
    }
  }
  return true;
}

bool ObjectReader::Items(std::string_view key,
                         Need need,
                         size_t low,
                         size_t high,
                         const ItemHook& read) {
  const JsonValue* member = GetMember(key, need);
  if (member == nullptr) {
    return false;
  }
  if (!member->IsArray()) {
    AddFault(key, WrongType("an array of objects", *member));
    return false;
  }
  const size_t size = member->items().size();
  if (size < low || size > high) {
    AddFault(key, "must have " + std::to_string(low) + " to " +
                      std::to_string(high) + " items, has " +
                      std::to_string(size));
  }
  for (size_t i = 0; i < size; ++i) {
    const JsonValue& item = member->items()[i];
    ObjectReader reader(item, PathOf(key) + "[" + std::to_string(i) + "]",
                        faults_);
    if (item.IsObject()) {
      read(i, reader);
      reader.Finish();
    }
  }
  return true;
}

void ObjectReader::Finish() {
  std::string allowed;
  for (const std::string& key : known_keys_) {
    allowed += (allowed.empty() ? "" : ", ") + key;
  }
  for (const auto& [name, member] : value_.members()) {
    if (std::find(known_keys_.begin(), known_keys_.end(), name) ==
        known_keys_.end()) {
      AddFault(name, "unknown key; allowed are: " + allowed);
    }
  }
}

void ObjectReader::AddFault(std::string_view key, std::string message) {
  faults_->push_back({PathOf(key), LineOf(key), std::move(message)});
}

std::string ObjectReader::PathOf(std::string_view key) const {
  if (key.empty()) {
    return path_;
  }
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

int ObjectReader::LineOf(std::string_view key) const {
  const JsonValue* member = key.empty() ? nullptr : value_.Find(key);
  return member == nullptr ? value_.line() : member->line();
}

const JsonValue* ObjectReader::GetMember(std::string_view key, Need need) {
  known_keys_.emplace_back(key);
  const JsonValue* member = value_.Find(key);
  if (member == nullptr && need == Need::kRequired && value_.IsObject()) {
    AddFault(key, "missing; this key is required");
  }
  return member;
}

const std::string* ObjectReader::GetString(std::string_view key, Need need) {
  const JsonValue* member = GetMember(key, need);
  if (member == nullptr) {
    return nullptr;
  }
  if (!member->IsString()) {
    AddFault(key, WrongType("a string", *member));
    return nullptr;
  }
  return &member->AsString();
}

}  // namespace citronlane
