#include "citronlane/fleet/pool_assignment.h"

#include <algorithm>
#include <tuple>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// Gateways find a new leader within about this time and tell what they know.
constexpr Duration kGatheringTime = std::chrono::milliseconds(600);
/// A gateway whose connection was reset is back sooner.
constexpr Duration kMissingTime = std::chrono::milliseconds(300);
/// A new leader gives owners that it has not seen yet this long to find it. When
/// it moved their pools after 0.9 s, few gateways were there, and one of them got
/// all pools: more than its link and its part of a core could carry, so that a
/// full pool's servers made a quarter fewer calls.
constexpr Duration kFindingTime = std::chrono::seconds(2);
/// A gateway that has run this long is not one that fails at each start.
constexpr Duration kSettledAge = std::chrono::seconds(3);
/// Bits of a number that count a leader's changes; its term stands above them.
/// Numbers that only counted on were given twice when a leader was cut off:
/// gateways then held two owners of a pool under one number until the next
/// change, and each pool's servers refused or dropped what the other one sent.
constexpr int kChangeBits = 24;

}  // namespace

size_t PoolAssignment::SlotOf(std::string_view service) {
  return RendezvousWeight(service, "slot") % kSlots;
}

void PoolAssignment::StartLeading(TimePoint now, uint64_t term) {
  leading_since_ = now;
  first_number_ = term << kChangeBits;
  missing_since_.fill(TimePoint());
  was_seen_.fill(false);
}

void PoolAssignment::Adopt(uint64_t number, const Owners& owners) {
  if (number > number_) {
    number_ = number;
    owners_ = owners;
  }
}

// The fewest slots first. Then the youngest of those that are settled: when all
// gateways are restarted in turn, it is the last to be restarted again.
const PoolAssignment::Gateway* PoolAssignment::Choose(
    absl::Span<const Gateway> gateways,
    size_t slot) const {
  const Gateway* best = nullptr;
  std::tuple<bool, bool, int64_t, Duration, uint64_t> best_order;
  for (const Gateway& gateway : gateways) {
    const auto held =
        std::count(owners_.begin(), owners_.end(), gateway.endpoint_);
    const uint64_t weight =
        RendezvousWeight(std::to_string(slot), gateway.endpoint_);
    const auto order =
        std::make_tuple(!gateway.stopping_, gateway.age_ >= kSettledAge, -held,
                        -gateway.age_, weight);
    if (best == nullptr || order > best_order) {
      best = &gateway;
      best_order = order;
    }
  }
  return best;
}

bool PoolAssignment::Update(absl::Span<const Gateway> gateways, TimePoint now) {
  if (gateways.empty() || now < leading_since_ + kGatheringTime) {
    return false;
  }
  // Gateways that run on know owners, but those that have just started are
  // often the first to find a new leader.
  const bool may_know =
      number_ == 0 && std::any_of(gateways.begin(), gateways.end(),
                                  [](const Gateway& gateway) {
                                    return gateway.age_ >= kSettledAge;
                                  });
  if (may_know && now < leading_since_ + kFindingTime) {
    return false;
  }
  const bool some_stay =
      std::any_of(gateways.begin(), gateways.end(),
                  [](const Gateway& gateway) { return !gateway.stopping_; });
  bool changed = false;
  for (size_t slot = 0; slot < kSlots; ++slot) {
    std::string& owner = owners_[slot];
    const auto found = std::find_if(
        gateways.begin(), gateways.end(),
        [&](const Gateway& gateway) { return gateway.endpoint_ == owner; });
    if (found != gateways.end()) {
      missing_since_[slot] = TimePoint();
      was_seen_[slot] = true;
      if (!found->stopping_ || !some_stay) {
        continue;
      }
    } else if (!owner.empty()) {
      if (missing_since_[slot] == TimePoint()) {
        missing_since_[slot] = now;
      }
      if (now - missing_since_[slot] < kMissingTime ||
          (!was_seen_[slot] && now - leading_since_ < kFindingTime)) {
        continue;
      }
    }
    owner.clear();
    owner = Choose(gateways, slot)->endpoint_;
    missing_since_[slot] = TimePoint();
    was_seen_[slot] = true;
    changed = true;
  }
  // Also when nothing changed: the leader before may have told some gateways
  // of a change and others not.
  const bool is_first = number_ < first_number_;
  if (changed || is_first) {
    number_ = std::max(number_ + 1, first_number_);
  }
  return changed || is_first;
}

}  // namespace citronlane
