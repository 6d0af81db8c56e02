#ifndef CITRONLANE_BASE_ERROR_H_
#define CITRONLANE_BASE_ERROR_H_

#include <string>

namespace citronlane {

/// Last reason for a missing std::optional result. Functions that can fail
/// return std::optional and take `Error* error` as their last parameter; they
/// set it only when they return std::nullopt. The pointer must not be null.
struct Error {
  /// One short line in plain English, without a trailing newline.
  std::string message_;
};

}  // namespace citronlane

#endif  // CITRONLANE_BASE_ERROR_H_
