#ifndef CITRONLANE_APP_DETAIL_DIGEST_H_
#define CITRONLANE_APP_DETAIL_DIGEST_H_

#include <string>
#include <string_view>

namespace citronlane::detail {

/// Returns the SHA-256 digest, 32 bytes. Thread safe.
std::string Sha256(std::string_view text);

/// Returns HMAC-SHA256, 32 bytes. Thread safe.
std::string HmacSha256(std::string_view key, std::string_view text);

/// Returns lower-case hexadecimal. Thread safe.
std::string ToHex(std::string_view bytes);

}  // namespace citronlane::detail

#endif  // CITRONLANE_APP_DETAIL_DIGEST_H_
