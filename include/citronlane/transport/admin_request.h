#ifndef CITRONLANE_TRANSPORT_ADMIN_REQUEST_H_
#define CITRONLANE_TRANSPORT_ADMIN_REQUEST_H_

#include <string>

#include "citronlane/base/shared_text.h"

namespace citronlane {

/// One request to the administration API.
struct AdminRequest {
  std::string method_;
  /// Without the query.
  std::string path_;
  std::string query_;
  /// Value of the Authorization header.
  std::string authorization_;
  SharedText body_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_ADMIN_REQUEST_H_
