#include "citronlane/relay/forwarded_headers.h"

#include <algorithm>
#include <string_view>

#include "citronlane/base/text.h"

namespace citronlane {
namespace {

constexpr std::string_view kDropped[] = {"Connection",
                                         "Keep-Alive",
                                         "Proxy-Connection",
                                         "TE",
                                         "Trailer",
                                         "Transfer-Encoding",
                                         "Upgrade",
                                         "Content-Length",
                                         "Host",
                                         "Expect",
                                         "Proxy-Authenticate",
                                         "Proxy-Authorization"};

}  // namespace

std::vector<HttpHeader> ForwardedHeaders(absl::Span<const HttpHeader> headers) {
  std::vector<std::string_view> named;
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoringCase(header.name_, "Connection")) {
      for (const std::string_view name : Split(header.value_, ',')) {
        named.push_back(name);
      }
    }
  }
  const auto is_dropped = [&](const HttpHeader& header) {
    const auto is_name = [&](std::string_view name) {
      return EqualsIgnoringCase(header.name_, name);
    };
    return std::any_of(std::begin(kDropped), std::end(kDropped), is_name) ||
           std::any_of(named.begin(), named.end(), is_name);
  };
  std::vector<HttpHeader> kept;
  for (const HttpHeader& header : headers) {
    if (!is_dropped(header)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace citronlane
