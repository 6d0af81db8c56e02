#ifndef CITRONLANE_GATEWAY_REFUSAL_WRITER_H_
#define CITRONLANE_GATEWAY_REFUSAL_WRITER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

#include "citronlane/admission/refusal.h"
#include "citronlane/base/verdict.h"
#include "citronlane/gateway/refusal_context.h"
#include "citronlane/gateway/refusal_entry.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

/// Turns refusals into what the caller sees, one log line, one record for the
/// journal. Thread safe.
class RefusalWriter {
 public:
  /// Called for each refusal, from any thread.
  using EntryHook = std::function<void(const RefusalEntry&, bool admitted)>;

  /// `identity` is the gateway's name with its incarnation.
  RefusalWriter(std::string identity, std::string receipt_key, EntryHook sink);

  /// Numbers, signs and records the refusal, and returns the reply with its
  /// body as application/problem+json.
  HttpReply Write(const RefusalContext& context,
                  const Refusal& refusal,
                  Verdict verdict,
                  std::string_view detail);

 private:
  RefusalEntry MakeEntry(const RefusalContext& context,
                         const Refusal& refusal,
                         Verdict verdict);
  Duration SpreadRetryAfter(const Refusal& refusal);

  const std::string identity_;
  const std::string receipt_key_;
  const EntryHook sink_;
  std::atomic<uint64_t> next_{1};
  std::mutex mutex_;
  std::mt19937_64 random_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REFUSAL_WRITER_H_
