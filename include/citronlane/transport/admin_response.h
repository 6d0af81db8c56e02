#ifndef CITRONLANE_TRANSPORT_ADMIN_RESPONSE_H_
#define CITRONLANE_TRANSPORT_ADMIN_RESPONSE_H_

#include <string>

namespace citronlane {

/// The answer to a call of the administration API.
struct AdminResponse {
  int status_ = 200;
  std::string content_type_ = "application/json";
  std::string body_;
  /// Where to go instead; empty for none.
  std::string location_;
  /// Seconds after which another try makes sense; 0 for none.
  int retry_after_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ADMIN_RESPONSE_H_
