#include "citronlane/state/canonical_json.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"

namespace citronlane {
namespace {

void AddDifference(const std::string& name,
                   const JsonValue& from,
                   const JsonValue& to,
                   JsonValue* patch) {
  if (from.IsObject() && to.IsObject()) {
    JsonValue inner = DiffMergePatch(from, to);
    if (!inner.members().empty()) {
      patch->AppendMember(name, std::move(inner));
    }
  } else if (WriteJson(from) != WriteJson(to)) {
    patch->AppendMember(name, to);
  }
}

}  // namespace

JsonValue SortMembers(const JsonValue& value) {
  if (value.IsArray()) {
    JsonValue sorted = JsonValue::Array();
    for (const JsonValue& item : value.items()) {
      sorted.Append(SortMembers(item));
    }
    return sorted;
  }
  if (!value.IsObject()) {
    return value;
  }
  std::vector<const JsonValue::Member*> members;
  members.reserve(value.members().size());
  for (const JsonValue::Member& member : value.members()) {
    members.push_back(&member);
  }
  std::sort(members.begin(), members.end(),
            [](const JsonValue::Member* a, const JsonValue::Member* b) {
              return a->first < b->first;
            });
  JsonValue sorted = JsonValue::Object();
  for (const JsonValue::Member* member : members) {
    sorted.AppendMember(member->first, SortMembers(member->second));
  }
  return sorted;
}

std::string CanonicalJson(const JsonValue& value) {
  return WriteJson(SortMembers(value));
}

bool HasNullMember(const JsonValue& value) {
  return std::any_of(value.members().begin(), value.members().end(),
                     [](const JsonValue::Member& member) {
                       return member.second.IsNull() ||
                              HasNullMember(member.second);
                     });
}

JsonValue DiffMergePatch(const JsonValue& from, const JsonValue& to) {
  JsonValue patch = JsonValue::Object();
  auto old = from.members().begin();
  const auto old_end = from.members().end();
  for (const JsonValue::Member& member : to.members()) {
    for (; old != old_end && old->first < member.first; ++old) {
      patch.AppendMember(old->first, JsonValue());
    }
    if (old == old_end || old->first != member.first) {
      patch.AppendMember(member.first, member.second);
      continue;
    }
    AddDifference(member.first, old->second, member.second, &patch);
    ++old;
  }
  for (; old != old_end; ++old) {
    patch.AppendMember(old->first, JsonValue());
  }
  return patch;
}

}  // namespace citronlane
