#ifndef CITRONLANE_STATE_CLAIM_TABLE_H_
#define CITRONLANE_STATE_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "state.pb.h"

namespace citronlane {

/// Claims of non-idempotent requests by (client account, idempotency key). A
/// key is granted to one call of one gateway incarnation. Only that call may
/// finish the claim, or release it when nothing ran. A finished or lost claim
/// is kept for its complete retention. Deterministic and without I/O: time
/// comes with the commands. Not thread safe.
class ClaimTable {
 public:
  /// Whether the gateway incarnation is registered.
  using RegisteredHook =
      std::function<bool(const std::string& gateway, uint64_t incarnation)>;

  explicit ClaimTable(RegisteredHook registered);

  /// Grants the key, or returns why it is not granted. A resend of the call
  /// that was granted is granted again.
  wire::ClaimReply Claim(const wire::ClaimCommand& command);

  /// Stores the answer, or releases the claim. Returns whether the claim is
  /// finished or released by this call, now or by an earlier send of the same
  /// command. A release of a call that holds no claim also returns true and
  /// prevents a late claim of that call from being granted.
  bool Finish(uint64_t time_ms, const wire::FinishCommand& command);

  /// Marks the running claims of a gateway incarnation that left the registry
  /// to expire after `retention_ms`.
  void OnOwnerLost(uint64_t time_ms,
                   const std::string& gateway,
                   uint64_t incarnation,
                   uint64_t retention_ms);

  /// Removes claims whose retention is over, a bounded number per call.
  void Expire(uint64_t time_ms);

  size_t size() const { return claims_.size(); }
  /// Total size of the stored answers, in bytes.
  uint64_t answer_bytes() const { return answer_bytes_; }

  void Save(wire::ClaimSnapshot* snapshot) const;
  void Load(const wire::ClaimSnapshot& snapshot);

 private:
  using Key = std::pair<std::string, std::string>;

  wire::ClaimReply Grant(const wire::ClaimCommand& command,
                         wire::ClaimRecord* record);
  bool Release(uint64_t time_ms,
               const wire::FinishCommand& command,
               const Key& key);
  void RemoveFromOwner(const Key& key, const wire::ClaimRecord& record);
  void SetExpiry(const Key& key, wire::ClaimRecord* record, uint64_t time_ms);
  void Insert(const wire::ClaimRecord& record);

  RegisteredHook registered_;
  std::map<Key, wire::ClaimRecord> claims_;
  /// Keys with an expiry, by cluster time in milliseconds.
  std::set<std::pair<uint64_t, Key>> expiries_;
  /// Running claims of each owner (gateway name and incarnation).
  std::map<std::pair<std::string, uint64_t>, std::set<Key>> running_;
  uint64_t answer_bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CLAIM_TABLE_H_
