#include "citronlane/routing/server_limits.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <utility>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// How long a slot can be used after it began.
constexpr Duration kSlotValidity = std::chrono::milliseconds(500);
/// Fraction of a limit that its owner, or all gateways together, use. The rest
/// covers calls that are sent apart and arrive together.
constexpr double kUsedFraction = 0.9;
/// Fraction for all gateways together beside an owner: calls for which it did
/// not reply in time.
constexpr double kFractionBesideOwner = 0.4;
/// A server that takes nothing still gets a request now and then; otherwise the
/// end of its limit would not be noticed.
constexpr double kMinPerSecond = 0.1;

double Fraction(ServerLimits::Scope scope, size_t gateways) {
  const auto count = static_cast<double>(std::max<size_t>(1, gateways));
  switch (scope) {
    case ServerLimits::Scope::kOwner:
      return kUsedFraction;
    case ServerLimits::Scope::kShare:
      return kUsedFraction / count;
    case ServerLimits::Scope::kShareBesideOwner:
      return kFractionBesideOwner / count;
  }
  return 0;
}

// Number of slots that begin until `passed` after the limit began. `phase`, at
// least 0 and below 1, is the position of the slots in their interval.
int64_t SlotsUntil(Duration passed, double per_second, double phase) {
  const double seconds = std::chrono::duration<double>(passed).count();
  return std::max<int64_t>(
      0, static_cast<int64_t>(std::floor(seconds * per_second + phase)));
}

}  // namespace

ServerLimits::ServerLimits(std::string gateway)
    : gateway_(std::move(gateway)) {}

bool ServerLimits::Observe(const ServerLimit& limit) {
  const auto known = servers_.find(limit.server_);
  if (known == servers_.end() && !limit.per_second_) {
    return false;
  }
  State& state = servers_[limit.server_];
  if (limit.at_ <= state.observed_) {
    return false;
  }
  state.observed_ = limit.at_;
  state.number_ = ++number_;
  if (state.per_second_ == limit.per_second_) {
    return false;
  }
  if (!state.per_second_) {
    state.began_ = limit.at_;
  }
  state.per_second_ = limit.per_second_;
  return true;
}

void ServerLimits::Retain(
    const std::function<bool(std::string_view server)>& exists) {
  for (auto it = servers_.begin(); it != servers_.end();) {
    it = exists(it->first) ? std::next(it) : servers_.erase(it);
  }
}

bool ServerLimits::MayCall(std::string_view server,
                           Scope scope,
                           size_t gateways,
                           TimePoint now) const {
  const auto known = servers_.find(server);
  return known == servers_.end() ||
         MayCall(server, known->second, scope, gateways, now);
}

bool ServerLimits::MayCall(std::string_view server,
                           const State& state,
                           Scope scope,
                           size_t gateways,
                           TimePoint now) const {
  if (!state.per_second_) {
    return true;
  }
  const double rate =
      std::max(kMinPerSecond, *state.per_second_) * Fraction(scope, gateways);
  constexpr uint64_t kPhases = 1 << 20;
  const double phase =
      static_cast<double>(RendezvousWeight(gateway_, server) % kPhases) /
      static_cast<double>(kPhases);
  const Duration passed = now - state.began_;
  const int64_t slots = SlotsUntil(passed, rate, phase) -
                        SlotsUntil(passed - kSlotValidity, rate, phase);
  const auto calls = std::count_if(
      state.calls_.begin(), state.calls_.end(),
      [now](TimePoint call) { return now - call < kSlotValidity; });
  return calls < slots;
}

void ServerLimits::OnCall(std::string_view server, TimePoint now) {
  const auto known = servers_.find(server);
  if (known == servers_.end() || !known->second.per_second_) {
    return;
  }
  auto& calls = known->second.calls_;
  while (!calls.empty() && now - calls.front() >= kSlotValidity) {
    calls.pop_front();
  }
  calls.push_back(now);
}

std::vector<std::string> ServerLimits::Exhausted(Scope scope,
                                                 size_t gateways,
                                                 TimePoint now) const {
  std::vector<std::string> exhausted;
  for (const auto& [server, state] : servers_) {
    if (!MayCall(server, state, scope, gateways, now)) {
      exhausted.push_back(server);
    }
  }
  return exhausted;
}

std::vector<ServerLimit> ServerLimits::RecordedSince(uint64_t number) const {
  std::vector<ServerLimit> observed;
  for (const auto& [server, state] : servers_) {
    if (state.number_ > number) {
      observed.push_back({server, state.per_second_, state.observed_});
    }
  }
  return observed;
}

bool ServerLimits::IsLimited(std::string_view server) const {
  const auto known = servers_.find(server);
  return known != servers_.end() && known->second.per_second_.has_value();
}

size_t ServerLimits::CountLimited() const {
  return static_cast<size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& entry) { return entry.second.per_second_.has_value(); }));
}

}  // namespace citronlane
