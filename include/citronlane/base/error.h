#ifndef CITRONLANE_BASE_ERROR_H_
#define CITRONLANE_BASE_ERROR_H_

#include <string>

namespace citronlane {

/// Reason for the failure of a function. Functions that can fail return
/// `std::optional` or `bool` and take `Error* error` as their last parameter,
/// which must not be null and is set only when they return `std::nullopt` or
/// false.
struct Error {
  /// One short line in plain English, without a trailing newline.
  std::string message_;
};

}  // namespace citronlane

#endif  // CITRONLANE_BASE_ERROR_H_
