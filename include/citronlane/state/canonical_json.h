#ifndef CITRONLANE_STATE_CANONICAL_JSON_H_
#define CITRONLANE_STATE_CANONICAL_JSON_H_

#include <string>

namespace citronlane {

class JsonValue;

/// Returns `value` with the members of every object sorted by name, so that
/// equal documents have equal bytes. Thread safe.
JsonValue SortMembers(const JsonValue& value);

/// Returns compact JSON of the sorted value. Thread safe.
std::string CanonicalJson(const JsonValue& value);

/// Whether an object outside of arrays has a null member; no merge patch can
/// produce such a document. Thread safe.
bool HasNullMember(const JsonValue& value);

/// Returns the smallest RFC 7396 merge patch that turns `from` into `to`.
/// Preconditions: both are objects as returned by SortMembers, and
/// HasNullMember is false for both. Thread safe.
JsonValue DiffMergePatch(const JsonValue& from, const JsonValue& to);

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CANONICAL_JSON_H_
