#ifndef CITRONLANE_JSON_TEXT_RULES_H_
#define CITRONLANE_JSON_TEXT_RULES_H_

#include <string_view>

namespace citronlane {

/// True for 1 to 64 letters, digits, '.', '_' or '-'. Thread safe.
bool IsName(std::string_view text);

/// True for an IPv4 or IPv6 address in numeric form. Thread safe.
bool IsIpAddress(std::string_view text);

/// True for "IP:port" with a numeric IP address, IPv6 in brackets, and a port
/// from 1 to 65535. Thread safe.
bool IsEndpoint(std::string_view text);

/// True for a SHA-256 digest: 64 digits 0-9, a-f. Thread safe.
bool IsDigest(std::string_view text);

}  // namespace citronlane

#endif  // CITRONLANE_JSON_TEXT_RULES_H_
