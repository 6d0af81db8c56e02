#include "citronlane/json/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace citronlane {
namespace {

constexpr size_t kMaxNameLength = 64;
constexpr uint64_t kMaxPort = 65535;
constexpr size_t kDigestLength = 64;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsPort(std::string_view text) {
  constexpr size_t kMaxDigits = 5;
  if (text.empty() || text.size() > kMaxDigits ||
      !std::all_of(text.begin(), text.end(),
                   [](char c) { return c >= '0' && c <= '9'; })) {
    return false;
  }
  const uint64_t port = std::stoull(std::string(text));
  return port >= 1 && port <= kMaxPort;
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsIpAddress(std::string_view text) {
  const std::string copy(text);
  in6_addr parsed{};
  return copy.find('\0') == std::string::npos &&
         (inet_pton(AF_INET, copy.c_str(), &parsed) == 1 ||
          inet_pton(AF_INET6, copy.c_str(), &parsed) == 1);
}

bool IsEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const bool is_v6 = host.find(':') != std::string_view::npos;
  return bracketed == is_v6 && IsIpAddress(host);
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace citronlane
