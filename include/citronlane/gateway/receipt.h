#ifndef CITRONLANE_GATEWAY_RECEIPT_H_
#define CITRONLANE_GATEWAY_RECEIPT_H_

#include <string>
#include <string_view>

namespace citronlane {

struct RefusalEntry;

/// Returns the text that a refusal's receipt is signed over: one line a field,
/// in the order of docs/design/caller-api.md. Thread safe.
std::string ReceiptText(const RefusalEntry& entry);

/// Returns HMAC-SHA256 of the receipt's text under the key, in lower-case
/// hexadecimal. Thread safe.
std::string SignReceipt(const RefusalEntry& entry, std::string_view key);

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_RECEIPT_H_
