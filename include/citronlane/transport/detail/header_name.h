#ifndef CITRONLANE_TRANSPORT_DETAIL_HEADER_NAME_H_
#define CITRONLANE_TRANSPORT_DETAIL_HEADER_NAME_H_

#include <algorithm>
#include <cctype>
#include <string_view>

namespace citronlane::detail {

/// Whether two header names are equal, ignoring case. Thread safe.
inline bool SameHeaderName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HEADER_NAME_H_
