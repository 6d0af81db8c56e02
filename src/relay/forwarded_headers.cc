#include "citronlane/relay/forwarded_headers.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>

#include "absl/strings/ascii.h"
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

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  absl::AsciiStrToLower(&lower);
  return lower;
}

}  // namespace

std::vector<HttpHeader> ForwardedHeaders(absl::Span<const HttpHeader> headers) {
  std::set<std::string> named;
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoringCase(header.name_, "Connection")) {
      for (const std::string_view name : Split(header.value_, ',')) {
        named.insert(LowerCase(name));
      }
    }
  }
  const auto is_dropped = [&](const HttpHeader& header) {
    const auto is_name = [&](std::string_view name) {
      return EqualsIgnoringCase(header.name_, name);
    };
    return std::any_of(std::begin(kDropped), std::end(kDropped), is_name) ||
           (!named.empty() && named.count(LowerCase(header.name_)) != 0);
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
