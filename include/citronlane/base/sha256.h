#ifndef CITRONLANE_BASE_SHA256_H_
#define CITRONLANE_BASE_SHA256_H_

#include <string>
#include <string_view>

namespace citronlane {

/// Returns the 32 bytes of the SHA-256 digest. Thread safe.
std::string Sha256(std::string_view data);

/// Returns the SHA-256 digest as 64 lower-case hexadecimal digits. Thread safe.
std::string Sha256Hex(std::string_view data);

}  // namespace citronlane

#endif  // CITRONLANE_BASE_SHA256_H_
