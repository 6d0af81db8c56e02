#ifndef CITRONLANE_ROUTING_DETAIL_PREFIX_INDEX_H_
#define CITRONLANE_ROUTING_DETAIL_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/types/span.h"

namespace citronlane {

/// Tracks which servers are assumed to hold which prompt prefix, from this
/// gateway's calls and from cache events, and maps each prefix to a preferred
/// server by consistent hashing, the same one on all gateways. Servers are
/// indices into the list given to Reset. Not thread safe.
class PrefixIndex {
 public:
  /// Tracks at most `capacity` prefixes, which is above 0; evicts the one added
  /// first.
  explicit PrefixIndex(size_t capacity);

  /// Replaces the list of servers and clears all assumed holders.
  void Reset(absl::Span<const std::string> servers);

  /// A cache event of a server: it holds, or evicted, the prefix. A gap in
  /// `sequence`, or one that restarted, first invalidates what the server was
  /// assumed to hold. An event older than the last one is ignored.
  void OnEvent(uint32_t server, uint64_t sequence, uint64_t prefix, bool held);
  /// A call of this gateway left the prefix in the server's cache.
  void OnStored(uint32_t server, uint64_t prefix);
  /// Assumes from now on that the server holds nothing.
  void Invalidate(uint32_t server);

  bool Holds(uint32_t server, uint64_t prefix) const;
  /// The server most recently added as a holder of the prefix, if any is left.
  std::optional<uint32_t> Holder(uint64_t prefix) const;
  /// The prefix's server by consistent hashing: the first one on the ring after
  /// the prefix that is set in `usable`, which has an entry for each server.
  /// Nullopt when none is.
  std::optional<uint32_t> PreferredServer(
      uint64_t prefix,
      const std::vector<bool>& usable) const;

 private:
  /// A server assumed to hold a prefix. Valid while the epoch is the server's.
  struct HolderRecord {
    uint32_t server_;
    uint64_t epoch_;
  };
  /// A server's last event and the epoch that all its valid records share.
  struct EventState {
    uint64_t sequence_ = 0;
    uint64_t epoch_ = 0;
  };
  /// Position of a server on the consistent-hash ring.
  struct Point {
    uint64_t position_;
    uint32_t server_;
  };

  bool IsCurrent(const HolderRecord& record) const;
  void AddHolder(uint32_t server, uint64_t prefix);
  void RemoveHolder(uint32_t server, uint64_t prefix);

  const size_t capacity_;
  std::vector<EventState> events_;
  std::vector<Point> ring_;
  std::unordered_map<uint64_t, std::vector<HolderRecord>> holders_;
  /// Prefixes in the order they were added, as a ring buffer.
  std::vector<uint64_t> order_;
  size_t next_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_PREFIX_INDEX_H_
