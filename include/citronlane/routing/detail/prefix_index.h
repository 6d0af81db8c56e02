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

/// Believes which servers hold which prompt prefix, from own calls and from
/// cache events, and names a home for every other prefix that all gateways
/// agree on. Servers are indices into the list given to Reset. Not thread safe.
class PrefixIndex {
 public:
  /// Keeps at most `capacity` prefixes; the oldest go first.
  explicit PrefixIndex(size_t capacity);

  /// Takes a new list of servers and drops all beliefs.
  void Reset(absl::Span<const std::string> servers);

  /// A cache event. A gap in `sequence`, or a count that began anew, drops what
  /// is believed of the server; an event that comes after a later one is
  /// ignored.
  void OnEvent(uint32_t server, uint64_t sequence, uint64_t prefix, bool held);
  /// An own call left the prefix at the server.
  void OnStored(uint32_t server, uint64_t prefix);
  /// Drops what is believed of the server.
  void Forget(uint32_t server);

  bool Holds(uint32_t server, uint64_t prefix) const;
  /// Server last believed to hold the prefix.
  std::optional<uint32_t> Holder(uint64_t prefix) const;
  /// Server a prefix belongs to by consistent hashing: the first one after the
  /// prefix that `usable` accepts. Nothing when none is.
  std::optional<uint32_t> Home(uint64_t prefix,
                               const std::vector<bool>& usable) const;

 private:
  struct Belief {
    uint32_t server_;
    uint64_t epoch_;
  };
  struct Events {
    uint64_t sequence_ = 0;
    uint64_t epoch_ = 0;
  };
  struct Point {
    uint64_t position_;
    uint32_t server_;
  };

  bool IsCurrent(const Belief& belief) const;
  void Remember(uint32_t server, uint64_t prefix);
  void Drop(uint32_t server, uint64_t prefix);

  const size_t capacity_;
  std::vector<Events> events_;
  std::vector<Point> ring_;
  std::unordered_map<uint64_t, std::vector<Belief>> beliefs_;
  /// Prefixes in the order they came, as a ring buffer.
  std::vector<uint64_t> order_;
  size_t next_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_PREFIX_INDEX_H_
