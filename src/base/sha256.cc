#include "citronlane/base/sha256.h"

#include <openssl/sha.h>

#include "citronlane/base/hex.h"

namespace citronlane {

std::string Sha256(std::string_view data) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string Sha256Hex(std::string_view data) {
  return ToHex(Sha256(data));
}

}  // namespace citronlane
