#ifndef CITRONLANE_BASE_TEXT_H_
#define CITRONLANE_BASE_TEXT_H_

#include <string_view>
#include <vector>

namespace citronlane {

/// Returns the text without leading and trailing spaces and tabs. All functions
/// of this header are thread safe; the results point into `text`.
std::string_view Stripped(std::string_view text);

/// Compares two texts without regard to the case of ASCII letters, as names of
/// HTTP headers are compared.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the fields between separators, each stripped; one empty field for an
/// empty text.
std::vector<std::string_view> Split(std::string_view text, char separator);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_TEXT_H_
