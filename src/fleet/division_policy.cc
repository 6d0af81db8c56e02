#include "citronlane/fleet/division_policy.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "citronlane/fleet/load_marks.h"

namespace citronlane {
namespace {

using Change = DivisionPolicy::Change;

/// An overload that lasts longer than this, in reports of the last seconds, is
/// not the burst of a moment.
constexpr Duration kOverloadTime = std::chrono::milliseconds(800);
/// A load that is low for less may be the pause between two bursts.
constexpr Duration kLowTime = std::chrono::seconds(60);
/// Older reports tell nothing of the present load.
constexpr Duration kMaxReportAge = std::chrono::seconds(3);
/// Between two changes, so that the first one is known everywhere.
constexpr Duration kChangePause = std::chrono::seconds(2);
constexpr Duration kChangesWindow = std::chrono::seconds(60);
/// By then the reports of a relieved owner are of the time after it.
constexpr Duration kSettleTime = std::chrono::seconds(4);
/// A partition stays at its next owner at least this long.
constexpr Duration kMoveRest = std::chrono::seconds(30);
/// After a pause of the leader's this long it has missed reports.
constexpr Duration kMaxUpdatePause = std::chrono::seconds(1);
/// Gateways that report no load for this long run an older version.
constexpr Duration kUnknownTime = std::chrono::seconds(10);

template <typename Map, typename Predicate>
void EraseIf(Map* map, const Predicate& predicate) {
  for (auto it = map->begin(); it != map->end();) {
    it = predicate(*it) ? map->erase(it) : std::next(it);
  }
}

size_t CountServers(const std::string& service,
                    absl::Span<const BackendServer> servers) {
  return static_cast<size_t>(std::count_if(
      servers.begin(), servers.end(), [&](const BackendServer& server) {
        return server.service_ == service && !server.leaving_;
      }));
}

/// Whether the pool has few enough servers for a lone owner.
bool CanMerge(const std::string& name, const DivisionPolicy::Input& input) {
  const auto service =
      std::find_if(input.services_.begin(), input.services_.end(),
                   [&](const PooledService& one) { return one.name_ == name; });
  return service != input.services_.end() &&
         DividePools({*service}, input.servers_, {},
                     {{name, PoolDivision::kUndivided}})
                 .size() == 1;
}

}  // namespace

void DivisionPolicy::StartLeading(TimePoint now) {
  *this = DivisionPolicy();
  leading_since_ = now;
}

std::optional<Change> DivisionPolicy::Update(const Input& input,
                                             TimePoint now) {
  if (updated_ && now - *updated_ > kMaxUpdatePause) {
    overloads_.clear();
    low_since_.clear();
    unknown_since_.clear();
  }
  updated_ = now;
  const FleetLoad loads(input.gateways_, input.owners_,
                        std::max(leading_since_, now - kMaxReportAge));
  NoteOverloads(input, loads);
  HoldDivisions(input, loads, now);
  EraseIf(&settling_until_,
          [now](const auto& entry) { return entry.second <= now; });
  EraseIf(&moved_,
          [now](const auto& entry) { return entry.second + kMoveRest <= now; });
  if (!MayChange(now)) {
    return std::nullopt;
  }
  auto change = Relieve(input, loads, now);
  if (!change) {
    change = Merge(input, loads, now);
  }
  if (change) {
    changes_.push_back(now);
  }
  return change;
}

bool DivisionPolicy::MayChange(TimePoint now) {
  while (!changes_.empty() && now - changes_.front() >= kChangesWindow) {
    changes_.pop_front();
  }
  return changes_.size() < kMaxChangesPerMinute &&
         (changes_.empty() || now - changes_.back() >= kChangePause);
}

// An overload lasts from the first of the reports that show it to the last one,
// so a gateway that has become silent proves nothing.
void DivisionPolicy::NoteOverloads(const Input& input, const FleetLoad& loads) {
  std::map<std::string, Overload> overloads;
  for (const FleetLoad::Gateway* gateway : loads.known()) {
    const std::string& endpoint = gateway->gateway_.endpoint_;
    if (settling_until_.count(endpoint) != 0 ||
        !IsOverloaded(loads, *gateway, input.services_)) {
      continue;
    }
    const auto known = overloads_.find(endpoint);
    overloads[endpoint] = {
        known == overloads_.end() ? *gateway->reported_ : known->second.since_,
        *gateway->reported_};
  }
  overloads_ = std::move(overloads);
}

// A divided pool stays divided until its load has been low for long, or nothing
// was known of it for long.
void DivisionPolicy::HoldDivisions(const Input& input,
                                   const FleetLoad& loads,
                                   TimePoint now) {
  PoolDivisions divisions;
  Times low;
  Times unknown;
  for (const PooledService& service : input.services_) {
    const std::string& name = service.name_;
    if (!IsDividedAmong(input.owners_, name)) {
      divided_here_.erase(name);
      continue;
    }
    const auto partitions =
        PoolAssignment::PartitionsAmong(input.owners_, name);
    const bool is_known = std::any_of(
        partitions.begin(), partitions.end(), [&](const PoolPartition& part) {
          return loads.Find(input.owners_.at(part)) != nullptr;
        });
    const bool is_low = LowLoadOfLoneOwner(loads, input.owners_, partitions,
                                           LagMark(input.services_, partitions))
                            .has_value();
    if (!is_known) {
      unknown[name] = unknown_since_.try_emplace(name, now).first->second;
    }
    if (is_low) {
      low[name] = low_since_.try_emplace(name, now).first->second;
    }
    const bool is_unknown_for_long =
        !is_known && now - unknown[name] >= kUnknownTime;
    const bool by_servers =
        is_unknown_for_long || (is_low && divided_here_.count(name) == 0);
    if (!by_servers) {
      divisions[name] = PoolDivision::kDivided;
    }
  }
  divisions_ = std::move(divisions);
  low_since_ = std::move(low);
  unknown_since_ = std::move(unknown);
}

// The owner that has been overloaded for the longest time comes first.
std::optional<Change> DivisionPolicy::Relieve(const Input& input,
                                              const FleetLoad& loads,
                                              TimePoint now) {
  std::vector<std::pair<TimePoint, std::string>> due;
  for (const auto& [endpoint, overload] : overloads_) {
    if (overload.last_report_ - overload.since_ >= kOverloadTime) {
      due.emplace_back(overload.since_, endpoint);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto& [since, endpoint] : due) {
    auto change = Divide(input, loads, endpoint);
    if (!change) {
      change = Move(input, loads, endpoint, now);
    }
    if (change) {
      change->owner_ = endpoint;
      change->load_ = loads.Find(endpoint)->load_;
      change->lasted_ = overloads_.at(endpoint).last_report_ - since;
      overloads_.erase(endpoint);
      settling_until_[endpoint] = now + kSettleTime;
      return change;
    }
  }
  return std::nullopt;
}

// Of the pools that the owner has as a whole, the one of the most servers.
std::optional<Change> DivisionPolicy::Divide(const Input& input,
                                             const FleetLoad& loads,
                                             const std::string& owner) {
  const PooledService* largest = nullptr;
  size_t most = 0;
  for (const PoolPartition& partition : loads.PartitionsOf(owner)) {
    const auto service =
        std::find_if(input.services_.begin(), input.services_.end(),
                     [&](const PooledService& one) {
                       return one.name_ == partition.service_;
                     });
    if (service == input.services_.end() ||
        IsDividedAmong(input.owners_, partition.service_) ||
        !CanDivide(*service, input.servers_)) {
      continue;
    }
    const size_t servers = CountServers(service->name_, input.servers_);
    if (servers > most) {
      most = servers;
      largest = &*service;
    }
  }
  if (largest == nullptr) {
    return std::nullopt;
  }
  divisions_[largest->name_] = PoolDivision::kDivided;
  divided_here_.insert(largest->name_);
  Change change;
  change.kind_ = Change::Kind::kDivide;
  change.partition_ = PoolPartition(largest->name_);
  return change;
}

std::optional<Change> DivisionPolicy::Move(const Input& input,
                                           const FleetLoad& loads,
                                           const std::string& owner,
                                           TimePoint now) {
  const auto partitions = loads.PartitionsOf(owner);
  const Duration lag_mark = LagMark(input.services_, partitions);
  for (const PoolPartition& partition : partitions) {
    if (moved_.count(partition.Name()) != 0) {
      continue;
    }
    const FleetLoad::Gateway* next =
        ClearlyBetterOwner(loads, *loads.Find(owner), partition, lag_mark);
    if (next != nullptr) {
      moved_[partition.Name()] = now;
      settling_until_[next->gateway_.endpoint_] = now + kSettleTime;
      Change change;
      change.kind_ = Change::Kind::kMove;
      change.partition_ = partition;
      change.next_owner_ = next->gateway_.endpoint_;
      return change;
    }
  }
  return std::nullopt;
}

std::optional<Change> DivisionPolicy::Merge(const Input& input,
                                            const FleetLoad& loads,
                                            TimePoint now) {
  for (const auto& [name, since] : low_since_) {
    if (now - since < kLowTime) {
      continue;
    }
    const auto partitions =
        PoolAssignment::PartitionsAmong(input.owners_, name);
    const auto load = LowLoadOfLoneOwner(loads, input.owners_, partitions,
                                         LagMark(input.services_, partitions));
    if (!load || !CanMerge(name, input)) {
      continue;
    }
    divisions_[name] = PoolDivision::kUndivided;
    Change change;
    change.kind_ = Change::Kind::kMerge;
    change.partition_ = PoolPartition(name);
    change.load_ = *load;
    change.lasted_ = now - since;
    return change;
  }
  return std::nullopt;
}

}  // namespace citronlane
