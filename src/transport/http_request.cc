#include "citronlane/transport/http_request.h"

#include <algorithm>

#include "citronlane/transport/detail/header_name.h"

namespace citronlane {
std::string_view HttpRequest::Header(std::string_view name) const {
  for (const HttpHeader& header : headers_) {
    if (detail::SameHeaderName(header.name_, name)) {
      return header.value_;
    }
  }
  return {};
}

size_t HttpRequest::CountHeader(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      headers_.begin(), headers_.end(), [name](const HttpHeader& header) {
        return detail::SameHeaderName(header.name_, name);
      }));
}

std::string_view HttpRequest::Path() const {
  const std::string_view target = target_;
  return target.substr(0, target.find('?'));
}

}  // namespace citronlane
