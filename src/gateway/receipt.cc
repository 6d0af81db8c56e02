#include "citronlane/gateway/receipt.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include "citronlane/base/hex.h"
#include "citronlane/gateway/refusal_entry.h"
#include "citronlane/json/parse.h"
#include "citronlane/process/detail/json_figures.h"

namespace citronlane {

std::string ReceiptText(const RefusalEntry& entry) {
  std::string text = entry.id_;
  const auto add = [&text](std::string_view field) {
    text.append("\n").append(field);
  };
  add(std::to_string(static_cast<int>(entry.reason_)));
  add(ToString(entry.verdict_));
  add(entry.account_);
  add(entry.class_name_);
  add(entry.target_);
  add(entry.gateway_);
  add(std::to_string(entry.config_version_));
  add(std::to_string(entry.time_ms_));
  add(WriteJson(detail::FiguresToJson(entry.figures_)));
  return text;
}

std::string SignReceipt(const RefusalEntry& entry, std::string_view key) {
  const std::string text = ReceiptText(entry);
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  unsigned int size = SHA256_DIGEST_LENGTH;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(digest.data()), &size);
  return ToHex(digest);
}

}  // namespace citronlane
