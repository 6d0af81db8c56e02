#ifndef CITRONLANE_TESTS_FAKES_JSON_H_
#define CITRONLANE_TESTS_FAKES_JSON_H_

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace citronlane::fakes {

using Json = rapidjson::Document;
using JsonView = rapidjson::Value;
using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Returns a member of the object, or `fallback` when it is absent.
std::string StringAt(const JsonView& object,
                     const char* name,
                     std::string_view fallback = "");
int64_t NumberAt(const JsonView& object, const char* name, int64_t fallback);
bool BoolAt(const JsonView& object, const char* name, bool fallback);

/// Writes a string value.
void Write(JsonWriter* writer, std::string_view text);

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_JSON_H_
