#include "citronlane/app/detail/digest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace citronlane::detail {
namespace {

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Sha256(std::string_view text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(Bytes(text), text.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  unsigned int size = SHA256_DIGEST_LENGTH;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(text),
       text.size(), reinterpret_cast<unsigned char*>(digest.data()), &size);
  return digest;
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kHalfByte = 4;
  constexpr unsigned char kLowHalf = 0x0f;
  std::string text;
  text.reserve(2 * bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> kHalfByte];
    text += kDigits[byte & kLowHalf];
  }
  return text;
}

}  // namespace citronlane::detail
