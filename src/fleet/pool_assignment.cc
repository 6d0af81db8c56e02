#include "citronlane/fleet/pool_assignment.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// Gateways find a new leader within about this time and tell what they know.
constexpr Duration kGatheringTime = std::chrono::milliseconds(600);
/// When all have just started they hold connections to all control VMs, and
/// there is nothing to be told but that they are there.
constexpr Duration kNewFleetTime = std::chrono::milliseconds(150);
/// A gateway whose connection was reset is back sooner.
constexpr Duration kMissingTime = std::chrono::milliseconds(300);
/// A new leader gives owners that it has not seen yet this long to find it:
/// sooner few gateways are there, and they would get more pools than their
/// links and their processors carry.
constexpr Duration kFindingTime = std::chrono::seconds(2);
/// A gateway that has run this long is not one that fails at each start.
constexpr Duration kSettledAge = std::chrono::seconds(3);
/// Bits of a number that count a leader's changes; its term stands above them.
/// A leader that is cut off and its successor would else give one number to
/// different owners.
constexpr int kChangeBits = 24;

/// Endpoint of the gateway that is highest by `order`; there is one.
template <typename Order>
std::string HighestOf(absl::Span<const PoolAssignment::Gateway> gateways,
                      const Order& order) {
  using Gateway = PoolAssignment::Gateway;
  return std::max_element(gateways.begin(), gateways.end(),
                          [&](const Gateway& a, const Gateway& b) {
                            return order(a) < order(b);
                          })
      ->endpoint_;
}

}  // namespace

std::vector<PoolPart> PoolAssignment::PartsAmong(const Owners& owners,
                                                 const std::string& service) {
  std::vector<PoolPart> parts;
  for (auto it = owners.lower_bound(PoolPart(service));
       it != owners.end() && it->first.service_ == service; ++it) {
    parts.push_back(it->first);
  }
  return parts;
}

PoolAssignment::Order PoolAssignment::SuccessorOrder(
    const PoolPart& part,
    const std::string& endpoint,
    bool stopping,
    const Owners& owners) {
  const bool runs_one =
      std::any_of(owners.begin(), owners.end(), [&](const auto& owner) {
        return owner.first != part && owner.second == endpoint;
      });
  return {!stopping, !runs_one, RendezvousWeight(part.Name(), endpoint)};
}

void PoolAssignment::StartLeading(TimePoint now, uint64_t term) {
  leading_since_ = now;
  first_number_ = term << kChangeBits;
  sights_.clear();
}

void PoolAssignment::Adopt(uint64_t number, const Owners& owners) {
  if (number > number_) {
    number_ = number;
    owners_ = owners;
  }
}

// Gateways that run on know owners, but those that have just started are often
// the first to find a new leader.
bool PoolAssignment::IsGathering(absl::Span<const Gateway> gateways,
                                 TimePoint now) const {
  if (number_ != 0) {
    return now < leading_since_ + kGatheringTime;
  }
  return now <
         leading_since_ + (IsNewFleet(gateways) ? kNewFleetTime : kFindingTime);
}

// All have just started: there is no owner that any of them could know.
bool PoolAssignment::IsNewFleet(absl::Span<const Gateway> gateways) const {
  return number_ == 0 && std::none_of(gateways.begin(), gateways.end(),
                                      [](const Gateway& gateway) {
                                        return gateway.age_ >= kSettledAge;
                                      });
}

// One that runs the fewest parts, near the part's servers. Then the youngest of
// those that are settled: when all gateways are restarted in turn, it is the
// last to be restarted again.
std::string PoolAssignment::Choose(absl::Span<const Gateway> gateways,
                                   const PoolPart& part) const {
  const std::string name = part.Name();
  const auto order = [&](const Gateway& gateway) {
    const auto runs = std::count_if(
        owners_.begin(), owners_.end(),
        [&](const auto& owner) { return owner.second == gateway.endpoint_; });
    return std::make_tuple(
        !gateway.stopping_, gateway.age_ >= kSettledAge, -runs,
        gateway.failure_domain_ == part.failure_domain_, -gateway.age_,
        RendezvousWeight(name, gateway.endpoint_));
  };
  return HighestOf(gateways, order);
}

// Gateways notice a lost owner before the leader does and turn to this one: if
// the leader named another, the pool would change hands twice.
std::string PoolAssignment::Successor(absl::Span<const Gateway> gateways,
                                      const PoolPart& part) const {
  const auto order = [&](const Gateway& gateway) {
    return SuccessorOrder(part, gateway.endpoint_, gateway.stopping_, owners_);
  };
  return HighestOf(gateways, order);
}

// Whether the part stays where it is, for now at least.
bool PoolAssignment::KeepsOwner(const PoolPart& part,
                                absl::Span<const Gateway> gateways,
                                TimePoint now) {
  const std::string& owner = owners_.at(part);
  Sight& sight = sights_[part];
  const auto found = std::find_if(
      gateways.begin(), gateways.end(),
      [&](const Gateway& gateway) { return gateway.endpoint_ == owner; });
  if (found != gateways.end()) {
    sight.missing_since_.reset();
    sight.was_seen_ = true;
    const bool some_stay =
        std::any_of(gateways.begin(), gateways.end(),
                    [](const Gateway& gateway) { return !gateway.stopping_; });
    return !found->stopping_ || !some_stay;
  }
  if (!sight.missing_since_) {
    sight.missing_since_ = now;
  }
  return now - *sight.missing_since_ < kMissingTime ||
         (!sight.was_seen_ && now - leading_since_ < kFindingTime);
}

bool PoolAssignment::Update(absl::Span<const PoolPart> parts,
                            absl::Span<const Gateway> gateways,
                            TimePoint now) {
  if (gateways.empty() || IsGathering(gateways, now)) {
    return false;
  }
  // In a new fleet they have turned to the successors by now.
  const bool is_new = IsNewFleet(gateways);
  bool changed = false;
  for (auto it = owners_.begin(); it != owners_.end();) {
    const bool is_declared =
        std::find(parts.begin(), parts.end(), it->first) != parts.end();
    changed = changed || !is_declared;
    it = is_declared ? std::next(it) : owners_.erase(it);
  }
  for (const PoolPart& part : parts) {
    const auto owned = owners_.find(part);
    if (owned != owners_.end() && KeepsOwner(part, gateways, now)) {
      continue;
    }
    const bool is_lost = owned != owners_.end() && sights_[part].missing_since_;
    if (owned != owners_.end()) {
      owners_.erase(owned);
    }
    // Nobody turns to the successor of a lost owner where there are other
    // parts.
    const bool has_successor = is_new || (is_lost && !part.IsOfDomain());
    owners_[part] =
        has_successor ? Successor(gateways, part) : Choose(gateways, part);
    sights_[part] = Sight{std::nullopt, true};
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
