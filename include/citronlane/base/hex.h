#ifndef CITRONLANE_BASE_HEX_H_
#define CITRONLANE_BASE_HEX_H_

#include <string>
#include <string_view>

namespace citronlane {

/// Returns two lower-case hexadecimal digits per byte. Thread safe.
std::string ToHex(std::string_view bytes);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_HEX_H_
