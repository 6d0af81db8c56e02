#ifndef CITRONLANE_JSON_TEXT_RANGE_H_
#define CITRONLANE_JSON_TEXT_RANGE_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace citronlane {

/// Position of a JSON value in its document's text. The functions below find it
/// by brackets and quotes only: they do not validate the text between them and
/// do not support comments.
struct TextRange {
  size_t begin_ = 0;
  /// Position after the value's last character.
  size_t end_ = 0;
};

/// Returns the first position from `begin` on that is not white space, or the
/// text's size. Thread safe.
size_t SkipSpace(std::string_view text, size_t begin);

/// Returns the range of the value that begins at `begin`; `std::nullopt` when
/// the text ends before the value does, or an array or object has a comment in
/// it. Thread safe.
std::optional<TextRange> FindValue(std::string_view text, size_t begin);

/// Returns the position at which the value of the first member called `name`
/// begins; the text after it is not read. Returns `std::nullopt` when `text` is
/// not an object or no such member is found. Thread safe.
std::optional<size_t> FindMemberBegin(std::string_view text,
                                      std::string_view name);

/// Returns the range of the value of the member called `name`; `std::nullopt`
/// when `text` is not an object, or has no or several such members. Thread
/// safe.
std::optional<TextRange> FindMember(std::string_view text,
                                    std::string_view name);

}  // namespace citronlane

#endif  // CITRONLANE_JSON_TEXT_RANGE_H_
