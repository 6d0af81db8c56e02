#ifndef CITRONLANE_TRANSPORT_ADMIN_REQUEST_H_
#define CITRONLANE_TRANSPORT_ADMIN_REQUEST_H_

#include <string>

namespace citronlane {

/// One request to the administration API.
struct AdminRequest {
  std::string method_;
  /// Without the query.
  std::string path_;
  std::string query_;
  /// Value of the Authorization header.
  std::string authorization_;
  std::string body_;
  /// Whether the body exceeded the limit; body_ holds its beginning.
  bool is_truncated_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ADMIN_REQUEST_H_
