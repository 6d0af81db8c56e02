#ifndef CITRONLANE_TRANSPORT_HTTP_REQUEST_H_
#define CITRONLANE_TRANSPORT_HTTP_REQUEST_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/shared_text.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// A caller's request, completely read.
struct HttpRequest {
  std::string method_;
  /// Path and query as sent.
  std::string target_;
  std::vector<HttpHeader> headers_;
  SharedText body_;

  /// Returns the value of the first header of that name, ignoring case, or an
  /// empty view. Valid as long as the request is unchanged.
  std::string_view Header(std::string_view name) const;
  /// Returns the number of headers of that name, ignoring case.
  size_t CountHeader(std::string_view name) const;
  /// Returns the target without its query.
  std::string_view Path() const;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_REQUEST_H_
