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

/// Turns a refusal into the response for the caller and an entry for log and
/// journal. Thread safe.
class RefusalWriter {
 public:
  /// Called for each refusal, from any thread.
  using EntryHook = std::function<void(const RefusalEntry&, bool admitted)>;

  /// `identity` is the prefix of refusal ids (see Gateway::identity).
  RefusalWriter(std::string identity, std::string receipt_key, EntryHook sink);

  /// Assigns an id, passes the entry to the hook and returns the response: a
  /// signed application/problem+json body and the refusal headers. `detail` is
  /// shown to the caller; may be empty.
  HttpReply Write(const RefusalContext& context,
                  const Refusal& refusal,
                  Verdict verdict,
                  std::string_view detail);

 private:
  RefusalEntry MakeEntry(const RefusalContext& context,
                         const Refusal& refusal,
                         Verdict verdict);
  Duration JitterRetryAfter(const Refusal& refusal);

  const std::string identity_;
  const std::string receipt_key_;
  const EntryHook sink_;
  std::atomic<uint64_t> next_{1};
  std::mutex mutex_;
  std::mt19937_64 random_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REFUSAL_WRITER_H_
