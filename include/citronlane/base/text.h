#ifndef CITRONLANE_BASE_TEXT_H_
#define CITRONLANE_BASE_TEXT_H_

#include <string_view>
#include <vector>

namespace citronlane {

/// Text without spaces and tabs at its ends. Thread safe, as are the others.
std::string_view Stripped(std::string_view text);

/// Whether two ASCII texts are alike but for case, as header names are.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Parts between separators, stripped; one empty part for an empty text.
std::vector<std::string_view> Split(std::string_view text, char separator);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_TEXT_H_
