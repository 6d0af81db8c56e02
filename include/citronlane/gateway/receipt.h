#ifndef CITRONLANE_GATEWAY_RECEIPT_H_
#define CITRONLANE_GATEWAY_RECEIPT_H_

#include <string>
#include <string_view>

namespace citronlane {

struct RefusalEntry;

/// Returns the text that the receipt of a refusal signs, one field per line:
/// id, reason number, verdict, account, class, target, gateway, configuration
/// version, time in Unix milliseconds, figures as JSON. Part of the caller API:
/// callers rebuild it to verify a receipt. Thread safe.
std::string ReceiptText(const RefusalEntry& entry);

/// Returns the HMAC-SHA256 of ReceiptText with `key`, in lower-case
/// hexadecimal. Thread safe.
std::string SignReceipt(const RefusalEntry& entry, std::string_view key);

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_RECEIPT_H_
