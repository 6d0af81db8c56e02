#include "citronlane/transport/http_request.h"

#include <algorithm>
#include <cctype>

namespace citronlane {
namespace {

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  for (const HttpHeader& header : headers_) {
    if (EqualsIgnoreCase(header.name_, name)) {
      return header.value_;
    }
  }
  return {};
}

size_t HttpRequest::CountHeader(std::string_view name) const {
  return static_cast<size_t>(std::count_if(
      headers_.begin(), headers_.end(), [name](const HttpHeader& header) {
        return EqualsIgnoreCase(header.name_, name);
      }));
}

std::string_view HttpRequest::Path() const {
  const std::string_view target = target_;
  return target.substr(0, target.find('?'));
}

}  // namespace citronlane
