#ifndef CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
#define CITRONLANE_FLEET_POOL_ASSIGNMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Which gateway forms the batches of which stage pools. The leader decides and
/// keeps what is: a pool changes hands only when its gateway is gone or going,
/// since for a moment after each change two gateways call the same servers.
/// Pools share a fixed number of slots. Pure. Not thread safe.
class PoolAssignment {
 public:
  /// So many that pools rarely share one: with 8, three pools met on one
  /// gateway in a third of the deployments, and its link carried the calls of
  /// both.
  static constexpr size_t kSlots = 64;
  /// Owner's endpoint of each slot; empty for none.
  using Owners = std::array<std::string, kSlots>;

  /// A gateway as the leader sees it.
  struct Gateway {
    std::string endpoint_;
    bool stopping_ = false;
    /// How long its process has run.
    Duration age_{};
  };

  /// Slot of a service's pool. Thread safe.
  static size_t SlotOf(std::string_view service);

  /// This node began to lead in `term`: what it knows comes from before.
  void StartLeading(TimePoint now, uint64_t term);
  /// What a gateway was told last, by this leader or one before; the highest
  /// number is the newest.
  void Adopt(uint64_t number, const Owners& owners);
  /// Gives slots whose gateway is gone or going to others. Returns whether
  /// the number rose: with each change, and once for each leader.
  bool Update(absl::Span<const Gateway> gateways, TimePoint now);

  /// Rises with each change, also over leaders. No two leaders give the same
  /// one: it holds the leader's term.
  uint64_t number() const { return number_; }
  const Owners& owners() const { return owners_; }

 private:
  const Gateway* Choose(absl::Span<const Gateway> gateways, size_t slot) const;

  uint64_t number_ = 0;
  Owners owners_;
  /// Since when each slot's gateway is out of sight.
  std::array<TimePoint, kSlots> missing_since_{};
  /// Whether this leader has seen the slot's gateway.
  std::array<bool, kSlots> was_seen_{};
  TimePoint leading_since_;
  /// The first number of this leader.
  uint64_t first_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_POOL_ASSIGNMENT_H_
