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
/// key is granted to one call of one gateway incarnation; only that one may
/// finish it, or release it when nothing ran. A finished or lost claim is kept
/// for its whole retention. Pure. Not thread safe.
class ClaimTable {
 public:
  /// Whether the gateway incarnation is registered.
  using RegisteredHook =
      std::function<bool(const std::string& gateway, uint64_t incarnation)>;

  explicit ClaimTable(RegisteredHook registered);

  /// Grants the key, or says why not. A resend of the call that was granted is
  /// granted again.
  wire::ClaimReply Claim(const wire::ClaimCommand& command);

  /// Stores the answer, or releases the claim. Returns whether it holds now;
  /// a resend holds too.
  bool Finish(uint64_t time_ms, const wire::FinishCommand& command);

  /// The gateway incarnation is out of the registry: its running claims are
  /// lost, and kept for `retention_ms` more.
  void OnOwnerLost(uint64_t time_ms,
                   const std::string& gateway,
                   uint64_t incarnation,
                   uint64_t retention_ms);

  /// Forgets a bounded number of claims whose retention is over.
  void Expire(uint64_t time_ms);

  size_t size() const { return claims_.size(); }
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
  void Disown(const Key& key, const wire::ClaimRecord& record);
  void SetExpiry(const Key& key, wire::ClaimRecord* record, uint64_t time_ms);
  void Insert(const wire::ClaimRecord& record);

  RegisteredHook registered_;
  std::map<Key, wire::ClaimRecord> claims_;
  /// Keys that expire, in order of time.
  std::set<std::pair<uint64_t, Key>> expiries_;
  /// Running claims of each owner.
  std::map<std::pair<std::string, uint64_t>, std::set<Key>> running_;
  uint64_t answer_bytes_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CLAIM_TABLE_H_
