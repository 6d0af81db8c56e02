#ifndef CITRONLANE_TRANSPORT_ADMIN_RESPONSE_H_
#define CITRONLANE_TRANSPORT_ADMIN_RESPONSE_H_

#include <string>

namespace citronlane {

/// Response to a request to the administration API.
struct AdminResponse {
  int status_ = 200;
  std::string content_type_ = "application/json";
  std::string body_;
  /// Value of the Location header; empty for none.
  std::string location_;
  /// Value of the Retry-After header in seconds; 0 for none.
  int retry_after_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ADMIN_RESPONSE_H_
