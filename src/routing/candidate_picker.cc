#include "citronlane/routing/detail/candidate_picker.h"

#include <algorithm>
#include <utility>

#include "citronlane/routing/detail/finish_estimator.h"
#include "citronlane/routing/detail/prefix_index.h"
#include "citronlane/routing/detail/server_state.h"
#include "citronlane/routing/detail/server_table.h"

namespace citronlane {
namespace {

constexpr size_t kSampledServers = 2;
/// Servers sampled in all when some are from the near failure domain.
constexpr size_t kSampledNearAndFar = 3;
/// Random draws for each wanted server before the list is scanned in order.
constexpr size_t kDrawsPerServer = 4;
/// Factor on the cost of a server in another failure domain.
constexpr double kFarCostFactor = 1.1;
/// Cost added for a server all of whose calls fail, relative to its cost.
constexpr double kFailureCostRatio = 4;
/// Cost of the prefix's server that is accepted, relative to the best sampled
/// one.
constexpr double kMaxAffinityCostRatio = 1.25;

bool Contains(const std::vector<uint32_t>& list, uint32_t index) {
  return std::find(list.begin(), list.end(), index) != list.end();
}

}  // namespace

CandidatePicker::CandidatePicker(const RouterOptions& options,
                                 const ServerTable* servers,
                                 const FinishEstimator* estimator,
                                 const PrefixIndex* prefixes,
                                 RandomHook random)
    : options_(options),
      servers_(servers),
      estimator_(estimator),
      prefixes_(prefixes),
      random_(std::move(random)) {}

std::optional<uint32_t> CandidatePicker::Pick(
    TimePoint now,
    const CallShape& call,
    absl::Span<const std::string> excluded) {
  excluded_.clear();
  for (const std::string& id : excluded) {
    if (const auto index = servers_->Find(id)) {
      excluded_.push_back(*index);
    }
  }
  switch (options_.choice_) {
    case RouterOptions::Choice::kRoundRobin:
      return PickRoundRobin();
    case RouterOptions::Choice::kLeastInFlight:
      return PickLeastInFlight();
    case RouterOptions::Choice::kExpectedFinish:
      return PickExpectedFinish(now, call);
  }
  return std::nullopt;
}

bool CandidatePicker::IsEligible(uint32_t index) const {
  const ServerState& server = servers_->at(index);
  const bool busy_probe = server.probing() && server.in_flight() > 0;
  return servers_->usable_flags()[index] && !busy_probe &&
         !Contains(excluded_, index);
}

std::optional<uint32_t> CandidatePicker::PickRoundRobin() {
  const std::vector<uint32_t>& usable = servers_->usable();
  for (size_t i = 0; i < usable.size(); ++i) {
    const uint32_t index = usable[next_++ % usable.size()];
    if (!Contains(excluded_, index)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<uint32_t> CandidatePicker::PickLeastInFlight() {
  const std::vector<uint32_t>& usable = servers_->usable();
  if (usable.empty()) {
    return std::nullopt;
  }
  std::optional<uint32_t> best;
  const size_t first = random_(usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    const uint32_t index = usable[(first + i) % usable.size()];
    const bool better = !best || servers_->at(index).in_flight() <
                                     servers_->at(*best).in_flight();
    if (better && !Contains(excluded_, index)) {
      best = index;
    }
  }
  return best;
}

void CandidatePicker::Sample(const std::vector<uint32_t>& from,
                             size_t count,
                             std::vector<uint32_t>* sampled) {
  if (from.empty()) {
    return;
  }
  const size_t wanted = sampled->size() + count;
  for (size_t i = 0; i < count * kDrawsPerServer; ++i) {
    const uint32_t index = from[random_(from.size())];
    if (IsEligible(index) && !Contains(*sampled, index)) {
      sampled->push_back(index);
    }
    if (sampled->size() == wanted) {
      return;
    }
  }
  const size_t first = random_(from.size());
  for (size_t i = 0; i < from.size() && sampled->size() < wanted; ++i) {
    const uint32_t index = from[(first + i) % from.size()];
    if (IsEligible(index) && !Contains(*sampled, index)) {
      sampled->push_back(index);
    }
  }
}

CandidatePicker::Candidate CandidatePicker::Evaluate(TimePoint now,
                                                     const CallShape& call,
                                                     uint32_t index) const {
  const ServerState& server = servers_->at(index);
  const bool hit =
      options_.prefix_affinity_ && prefixes_->Holds(index, call.prefix_hash_);
  double cost = estimator_->ExpectedTime(server, now, call, hit, 0);
  cost *= 1 + kFailureCostRatio * server.FailureRatio(now);
  if (options_.domain_preference_ && !server.near()) {
    cost *= kFarCostFactor;
  }
  return {index, cost, server.Load(now)};
}

std::optional<uint32_t> CandidatePicker::PickExpectedFinish(
    TimePoint now,
    const CallShape& call) {
  sampled_.clear();
  if (options_.domain_preference_ && !servers_->near().empty()) {
    Sample(servers_->near(), kSampledServers, &sampled_);
    Sample(servers_->far(), kSampledNearAndFar - sampled_.size(), &sampled_);
  } else {
    Sample(servers_->usable(), kSampledServers, &sampled_);
  }
  if (sampled_.empty()) {
    return std::nullopt;
  }
  Candidate best = Evaluate(now, call, sampled_.front());
  double load_sum = best.load_;
  for (size_t i = 1; i < sampled_.size(); ++i) {
    const Candidate candidate = Evaluate(now, call, sampled_[i]);
    load_sum += candidate.load_;
    if (candidate.cost_ < best.cost_) {
      best = candidate;
    }
  }
  if (options_.prefix_affinity_ && call.prefix_hash_ != 0) {
    const double mean_load = load_sum / static_cast<double>(sampled_.size());
    if (const auto index = PickByPrefix(now, call, best, mean_load)) {
      return index;
    }
  }
  return best.index_;
}

std::optional<uint32_t> CandidatePicker::PickByPrefix(TimePoint now,
                                                      const CallShape& call,
                                                      const Candidate& best,
                                                      double mean_load) const {
  const double load_bound = options_.affinity_load_factor_ * (mean_load + 1);
  const std::optional<uint32_t> options[] = {
      prefixes_->Holder(call.prefix_hash_),
      prefixes_->PreferredServer(call.prefix_hash_, servers_->usable_flags())};
  for (const auto& index : options) {
    if (!index || !IsEligible(*index)) {
      continue;
    }
    const Candidate candidate = Evaluate(now, call, *index);
    if (candidate.load_ <= load_bound &&
        candidate.cost_ <= best.cost_ * kMaxAffinityCostRatio) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace citronlane
