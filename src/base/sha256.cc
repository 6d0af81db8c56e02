#include "citronlane/base/sha256.h"

#include <openssl/sha.h>

namespace citronlane {

std::string Sha256(std::string_view data) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string Sha256Hex(std::string_view data) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xf;
  std::string hex;
  hex.reserve(size_t{2} * SHA256_DIGEST_LENGTH);
  for (const char byte : Sha256(data)) {
    const auto value = static_cast<unsigned char>(byte);
    hex.push_back(kDigits[value >> kNibbleBits]);
    hex.push_back(kDigits[value & kNibbleMask]);
  }
  return hex;
}

}  // namespace citronlane
