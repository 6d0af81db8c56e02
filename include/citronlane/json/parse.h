#ifndef CITRONLANE_JSON_PARSE_H_
#define CITRONLANE_JSON_PARSE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/json/fault.h"
#include "citronlane/json/value.h"

namespace citronlane {

/// Deepest nesting that ParseJson accepts.
constexpr int kMaxJsonDepth = 64;

/// Most values one document may hold; bounds the memory of a parse.
constexpr int kMaxJsonValues = 500'000;

/// Reads JSON; `//` and `/* */` comments are allowed. Refuses a name that an
/// object holds twice, invalid UTF-8, and nesting beyond kMaxJsonDepth. Returns
/// nothing and sets `fault` when the text is wrong. Thread safe.
std::optional<JsonValue> ParseJson(std::string_view text, Fault* fault);

/// Reads as ParseJson does, but goes on after a name that stands twice: adds a
/// fault for each and keeps the first value. Returns nothing only when the text
/// is no JSON. `faults` must not be null. Thread safe.
std::optional<JsonValue> ParseJsonCollecting(std::string_view text,
                                             std::vector<Fault>* faults);

/// Writes compact JSON; whole numbers are written without a fraction, members
/// in their order. Thread safe.
std::string WriteJson(const JsonValue& value);

/// Applies an RFC 7396 merge patch: null removes, objects merge, anything else
/// replaces. Deterministic. Thread safe.
void ApplyMergePatch(const JsonValue& patch, JsonValue* target);

}  // namespace citronlane

#endif  // CITRONLANE_JSON_PARSE_H_
