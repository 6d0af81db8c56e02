#include "citronlane/routing/detail/server_table.h"

#include <algorithm>
#include <utility>

#include "absl/types/span.h"
#include "citronlane/config/pool_config.h"

namespace citronlane {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Upper bound of the servers in one check, which runs within a routing
/// decision.
constexpr size_t kServersPerCheck = 64;
/// Comparing the pool's servers reads all of them: the interval grows by one
/// check interval for this many servers.
constexpr size_t kServersPerCompare = 256;
/// A server that reports itself that it is draining sends no incarnation.
constexpr uint64_t kUnknownIncarnation = 0;
constexpr Duration kCenteringInterval = std::chrono::seconds(2);
/// Bound of one correction of the typical times, as a factor either way.
constexpr double kMaxCorrectionFactor = 1.5;

}  // namespace

ServerTable::ServerTable(const RouterOptions& options)
    : options_(options), detector_(options.max_ejected_fraction_) {}

bool ServerTable::Update(const PoolConfig& pool, TimePoint now) {
  std::vector<ServerState> servers;
  servers.reserve(pool.servers_.size());
  bool changed = servers_.size() != pool.servers_.size();
  for (const auto& [id, config] : pool.servers_) {
    const bool near = config.failure_domain_ == options_.failure_domain_;
    if (const auto known = Find(id)) {
      servers.push_back(std::move(servers_[*known]));
      servers.back().set_near(near);
      continue;
    }
    changed = true;
    servers.emplace_back(id, near);
  }
  servers_ = std::move(servers);
  by_id_.clear();
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    by_id_.emplace(servers_[i].id(), i);
  }
  Rebuild(now);
  return changed;
}

std::optional<uint32_t> ServerTable::Find(std::string_view id) const {
  const auto found = by_id_.find(std::string(id));
  if (found == by_id_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<std::string> ServerTable::ids() const {
  std::vector<std::string> ids;
  ids.reserve(servers_.size());
  for (const ServerState& server : servers_) {
    ids.push_back(server.id());
  }
  return ids;
}

void ServerTable::MarkLeaving(std::string_view id, uint64_t incarnation) {
  Incarnation& known = incarnations_[std::string(id)];
  if (incarnation != kUnknownIncarnation && incarnation < known.number_) {
    return;
  }
  known = {std::max(incarnation, known.number_), true};
  next_check_ = TimePoint();
  leaving_changed_ = true;
}

bool ServerTable::MarkAlive(std::string_view id,
                            uint64_t incarnation,
                            TimePoint now) {
  Incarnation& known = incarnations_[std::string(id)];
  if (incarnation <= known.number_) {
    return false;
  }
  const bool returned = known.leaving_;
  known = {incarnation, false};
  const auto index = Find(id);
  if (index && returned) {
    servers_[*index].Reset(now);
  }
  next_check_ = TimePoint();
  leaving_changed_ = true;
  return index && returned;
}

bool ServerTable::IsLeaving(const std::string& id) const {
  const auto found = incarnations_.find(id);
  return found != incarnations_.end() && found->second.leaving_;
}

double ServerTable::Maintain(TimePoint now) {
  if (now < next_check_) {
    return 1;
  }
  const size_t count = std::min(servers_.size(), kServersPerCheck);
  next_check_ = now + kCheckInterval * count / std::max<size_t>(1, size());
  bool suspect = false;
  bool changed = leaving_changed_;
  for (size_t i = 0; i < count; ++i) {
    next_server_ = (next_server_ + 1) % servers_.size();
    changed = EndEjection(now, next_server_) || changed;
    suspect = suspect || servers_[next_server_].MayBeOutlier(now);
  }
  if (suspect && options_.ejection_ && now >= next_comparison_) {
    next_comparison_ =
        next_check_ + kCheckInterval * size() / kServersPerCompare;
    changed = detector_.Eject(now, absl::MakeSpan(servers_)) || changed;
  }
  if (changed) {
    Rebuild(now);
  }
  return CenterSlowFactors(now);
}

bool ServerTable::EndEjection(TimePoint now, size_t index) {
  ServerState& server = servers_[index];
  if (usable_flags_[index] || server.IsEjected(now) ||
      server.ejected_until() == TimePoint()) {
    return false;
  }
  server.BeginProbe(now);
  return true;
}

double ServerTable::CenterSlowFactors(TimePoint now) {
  if (now < next_centering_) {
    return 1;
  }
  next_centering_ = now + kCenteringInterval;
  for (ServerState& server : servers_) {
    server.ExpirePeers(now);
  }
  const double median = OutlierDetector::MedianSlowFactor(now, servers_);
  const double correction =
      std::clamp(median, 1 / kMaxCorrectionFactor, kMaxCorrectionFactor);
  for (ServerState& server : servers_) {
    server.ScaleSlow(1 / correction);
  }
  return correction;
}

void ServerTable::Rebuild(TimePoint now) {
  leaving_changed_ = false;
  CollectUsable(
      [now](const ServerState& server) { return !server.IsEjected(now); });
  if (usable_.empty()) {
    // All servers that are not draining are ejected, since the others began to
    // drain later: an ejected server is better than none.
    CollectUsable([](const ServerState& /*server*/) { return true; });
  }
}

template <typename Accept>
void ServerTable::CollectUsable(const Accept& accept) {
  near_.clear();
  far_.clear();
  usable_.clear();
  usable_flags_.assign(servers_.size(), false);
  for (uint32_t i = 0; i < servers_.size(); ++i) {
    const ServerState& server = servers_[i];
    if (IsLeaving(server.id()) || !accept(server)) {
      continue;
    }
    usable_flags_[i] = true;
    usable_.push_back(i);
    (server.near() ? near_ : far_).push_back(i);
  }
}

}  // namespace citronlane
