#ifndef CITRONLANE_JSON_TEXT_RANGE_H_
#define CITRONLANE_JSON_TEXT_RANGE_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace citronlane {

/// Place of a JSON value in its document's text, found by brackets and quotes
/// alone: what lies between them is not checked, and comments are not
/// understood.
struct TextRange {
  size_t begin_ = 0;
  /// Behind the value's last character.
  size_t end_ = 0;
};

/// First place from `begin` on that is no white space; the text's size when
/// there is none. Thread safe.
size_t SkipSpace(std::string_view text, size_t begin);

/// The value that begins at `begin`. Nothing when the text ends before it does,
/// or a comment begins in it. Thread safe.
std::optional<TextRange> FindValue(std::string_view text, size_t begin);

/// Where the value of the object's first member of that name begins; what
/// follows is not looked at. Nothing when `text` is no object or has no such
/// member. Thread safe.
std::optional<size_t> FindMemberBegin(std::string_view text,
                                      std::string_view name);

/// Value of the object's member of that name. Nothing when `text` is no object,
/// or has no such member or two of them. Thread safe.
std::optional<TextRange> FindMember(std::string_view text,
                                    std::string_view name);

}  // namespace citronlane

#endif  // CITRONLANE_JSON_TEXT_RANGE_H_
