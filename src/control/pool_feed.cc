#include "citronlane/control/pool_feed.h"

#include <cmath>
#include <string>

#include "citronlane/fleet/pool_division.h"
#include "citronlane/observe/event_log.h"

namespace citronlane {
namespace {

/// A new leader has read the server list by then, unless the platform does not
/// respond. Pools are divided into partitions by that list.
constexpr Duration kServerListTimeout = std::chrono::seconds(1);

using Kind = DivisionPolicy::Change::Kind;

const char* EventOf(Kind kind) {
  switch (kind) {
    case Kind::kDivide:
      return "pool divided";
    case Kind::kMerge:
      return "pool merged";
    case Kind::kMove:
      break;
  }
  return "partition moved";
}

uint64_t Percent(double fraction) {
  constexpr double kPercent = 100;
  return static_cast<uint64_t>(std::llround(fraction * kPercent));
}

}  // namespace

void PoolFeed::StartLeading(TimePoint now, uint64_t term) {
  leading_since_ = now;
  assignment_.StartLeading(now, term);
  policy_.StartLeading(now);
}

void PoolFeed::Adopt(uint64_t number, const PoolAssignment::Owners& owners) {
  assignment_.Adopt(number, owners);
}

void PoolFeed::Update(absl::Span<const PooledService> services,
                      const std::optional<std::vector<BackendServer>>& servers,
                      absl::Span<const FleetLoad::Gateway> gateways,
                      TimePoint now) {
  if (number() == 0 && !servers && now < leading_since_ + kServerListTimeout) {
    return;
  }
  std::vector<PoolAssignment::Gateway> candidates;
  candidates.reserve(gateways.size());
  for (const FleetLoad::Gateway& gateway : gateways) {
    candidates.push_back(gateway.gateway_);
  }
  if (!servers) {
    assignment_.Update(HeldPartitions(services), candidates, now);
    return;
  }
  const auto change =
      policy_.Update({services, *servers, gateways, assignment_.owners()}, now);
  if (change) {
    Log(*change);
    if (change->kind_ == Kind::kMove) {
      assignment_.Move(change->partition_, change->next_owner_);
    }
  }
  assignment_.Update(DividePools(services, *servers, assignment_.owners(),
                                 policy_.divisions()),
                     candidates, now);
}

// Without a server list the current partitions are kept, since each change
// moves servers between owners.
std::vector<PoolPartition> PoolFeed::HeldPartitions(
    absl::Span<const PooledService> services) const {
  std::vector<PoolPartition> partitions;
  for (const PooledService& service : services) {
    const auto held =
        PoolAssignment::PartitionsAmong(assignment_.owners(), service.name_);
    partitions.insert(partitions.end(), held.begin(), held.end());
    if (held.empty()) {
      partitions.emplace_back(service.name_);
    }
  }
  return partitions;
}

void PoolFeed::Log(const DivisionPolicy::Change& change) {
  log_->Write("control", EventOf(change.kind_),
              {{"partition", change.partition_.Name()},
               {"owner", change.owner_},
               {"next_owner", change.next_owner_},
               {"processor_percent", Percent(change.load_.processor_use_)},
               {"link_percent", Percent(change.load_.link_use_)},
               {"loop_lag_ms", change.load_.loop_lag_},
               {"lasted_ms", change.lasted_}});
}

}  // namespace citronlane
