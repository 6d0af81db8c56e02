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

/// Maximum number of values in a document; bounds the memory of a parse.
constexpr int kMaxJsonValues = 500'000;

/// Parses JSON; `//` and `/* */` comments are allowed. Refuses duplicate names
/// in an object, invalid UTF-8, nesting beyond kMaxJsonDepth and more than
/// kMaxJsonValues values. Returns `std::nullopt` and sets `fault` on failure.
/// Thread safe.
std::optional<JsonValue> ParseJson(std::string_view text, Fault* fault);

/// Parses as ParseJson does, but continues after a duplicate name: adds a fault
/// for each and keeps the first value. Returns `std::nullopt` for any other
/// error. `faults` must not be null. Thread safe.
std::optional<JsonValue> ParseJsonCollecting(std::string_view text,
                                             std::vector<Fault>* faults);

/// Writes compact JSON, members in their order. Whole numbers that a double
/// represents exactly are written without a fraction, numbers that are not
/// finite as null. Thread safe.
std::string WriteJson(const JsonValue& value);

/// Applies an RFC 7396 merge patch: null removes, objects merge, anything else
/// replaces. Deterministic. Thread safe.
void ApplyMergePatch(const JsonValue& patch, JsonValue* target);

}  // namespace citronlane

#endif  // CITRONLANE_JSON_PARSE_H_
