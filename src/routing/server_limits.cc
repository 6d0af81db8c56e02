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
/// Calls that an owner sends within kSentWindow: at most this fraction of the
/// limit, and some calls more. Slots alone allow less, unless they are
/// reserved.
constexpr Duration kSentWindow = std::chrono::seconds(4);
constexpr double kMaxSentFraction = 0.92;
constexpr double kMaxExtraSent = 2;
/// As above for a cold server.
constexpr Duration kColdSentWindow = std::chrono::seconds(1);
constexpr double kMaxColdSentFraction = 1.4;
/// Fraction of what a cold server tolerates that is used as its limit: calls
/// that are sent apart may arrive within one second.
constexpr double kUsedColdFraction = 0.7;
/// All gateways together should call a limited server this often.
constexpr Duration kObservationInterval = std::chrono::seconds(1);
/// A server that takes nothing still gets a request now and then; otherwise the
/// end of its limit would not be noticed.
constexpr double kMinPerSecond = 0.1;
/// Servers may name any number; their slots must be countable.
constexpr double kMaxPerSecond = 1e6;

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

// Times are in order.
void DropBefore(TimePoint first, std::deque<TimePoint>* times) {
  while (!times->empty() && times->front() <= first) {
    times->pop_front();
  }
}

size_t CountSince(TimePoint first, const std::deque<TimePoint>& times) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(),
                    [first](TimePoint time) { return time > first; }));
}

}  // namespace

ServerLimits::ServerLimits(std::string gateway)
    : gateway_(std::move(gateway)), brittle_(gateway_) {}

std::optional<double> ServerLimits::LimitOf(const State& state, TimePoint now) {
  std::optional<double> limit = state.per_second_;
  if (IsCold(state, now)) {
    limit = std::min(limit.value_or(state.cold_per_second_),
                     state.cold_per_second_);
  }
  return limit ? std::optional(std::clamp(*limit, kMinPerSecond, kMaxPerSecond))
               : std::nullopt;
}

// Whether an owner may send one more call, whatever slots it has. Precondition:
// the server has a limit.
bool ServerLimits::IsWithinSentBound(const State& state, TimePoint now) {
  const double per_second = *LimitOf(state, now);
  const auto is_within = [&](Duration window, double fraction) {
    const double seconds = std::chrono::duration<double>(window).count();
    const double most = fraction * per_second * seconds + kMaxExtraSent;
    return static_cast<double>(CountSince(now - window, state.sent_)) + 1 <=
           most;
  };
  return is_within(kSentWindow, kMaxSentFraction) &&
         (!IsCold(state, now) ||
          is_within(kColdSentWindow, kMaxColdSentFraction));
}

bool ServerLimits::Observe(const ServerLimit& limit) {
  const auto known = servers_.find(limit.server_);
  const bool names_any =
      limit.per_second_.has_value() || limit.max_refusals_.has_value();
  if (known == servers_.end() && !names_any) {
    return false;
  }
  State& state = servers_[limit.server_];
  const bool is_known = state.number_ > 0 || names_any;
  if (limit.at_ <= state.observed_ || !is_known) {
    return false;
  }
  state.observed_ = limit.at_;
  state.number_ = ++number_;
  if (state.per_second_ == limit.per_second_ &&
      state.max_refusals_ == limit.max_refusals_) {
    return false;
  }
  if (!state.per_second_ && limit.per_second_) {
    state.began_ = limit.at_;
    state.last_sent_ = limit.at_;
  }
  state.per_second_ = limit.per_second_;
  state.max_refusals_ = limit.max_refusals_;
  brittle_.SetBrittle(limit.server_, limit.max_refusals_);
  return true;
}

void ServerLimits::SetCold(absl::Span<const ColdServer> servers,
                           TimePoint now) {
  for (auto& [id, state] : servers_) {
    state.cold_until_ = std::min(state.cold_until_, now);
  }
  for (const ColdServer& server : servers) {
    State& state = servers_[server.server_];
    if (!LimitOf(state, now)) {
      state.began_ = now;
    }
    state.cold_until_ = server.until_;
    state.cold_per_second_ = server.per_second_ * kUsedColdFraction;
  }
}

// Servers may be observed before they are listed.
void ServerLimits::SetServers(absl::Span<const BackendServer> servers) {
  brittle_.SetServers(servers);
  for (const auto& [server, state] : servers_) {
    brittle_.SetBrittle(server, state.max_refusals_);
  }
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
  return brittle_.MayCall(server, scope, now) &&
         (known == servers_.end() ||
          MayCall(server, known->second, scope, gateways, now));
}

bool ServerLimits::MayCall(std::string_view server,
                           const State& state,
                           Scope scope,
                           size_t gateways,
                           TimePoint now) const {
  const std::optional<double> per_second = LimitOf(state, now);
  if (!per_second) {
    return true;
  }
  if (scope == Scope::kOwner && !IsWithinSentBound(state, now)) {
    return false;
  }
  const double rate = *per_second * Fraction(scope, gateways);
  constexpr uint64_t kPhases = 1 << 20;
  const double phase =
      static_cast<double>(RendezvousWeight(gateway_, server) % kPhases) /
      static_cast<double>(kPhases);
  const Duration passed = now - state.began_;
  const int64_t slots = SlotsUntil(passed, rate, phase) -
                        SlotsUntil(passed - kSlotValidity, rate, phase);
  return static_cast<int64_t>(CountSince(now - kSlotValidity, state.taken_)) <
         slots;
}

ServerLimits::State* ServerLimits::FindLimited(std::string_view server,
                                               TimePoint now) {
  const auto known = servers_.find(server);
  return known == servers_.end() || !LimitOf(known->second, now)
             ? nullptr
             : &known->second;
}

void ServerLimits::OnCall(std::string_view server, TimePoint now) {
  Reserve(server, now);
  OnReservedCall(server, now);
}

void ServerLimits::Reserve(std::string_view server, TimePoint now) {
  if (State* state = FindLimited(server, now)) {
    DropBefore(now - kSlotValidity, &state->taken_);
    state->taken_.push_back(now);
  }
}

bool ServerLimits::MayCallReserved(std::string_view server,
                                   TimePoint now) const {
  const auto known = servers_.find(server);
  return known != servers_.end() && LimitOf(known->second, now) &&
         IsWithinSentBound(known->second, now) &&
         brittle_.MayCall(server, Scope::kOwner, now);
}

void ServerLimits::OnEnd(std::string_view server,
                         bool is_refused,
                         TimePoint now) {
  brittle_.OnEnd(server, is_refused, now);
}

void ServerLimits::OnReservedCall(std::string_view server, TimePoint now) {
  brittle_.OnCall(server, now);
  if (State* state = FindLimited(server, now)) {
    DropBefore(now - kSentWindow, &state->sent_);
    state->sent_.push_back(now);
    state->last_sent_ = now;
  }
}

std::vector<std::string> ServerLimits::Unobserved(Scope scope,
                                                  size_t gateways,
                                                  TimePoint now) const {
  const auto count = static_cast<Duration::rep>(std::max<size_t>(1, gateways));
  std::vector<std::string> unobserved;
  for (const auto& [server, state] : servers_) {
    if (state.per_second_ &&
        now - state.last_sent_ >= kObservationInterval * count &&
        MayCall(server, scope, gateways, now)) {
      unobserved.push_back(server);
    }
  }
  return unobserved;
}

std::vector<std::string> ServerLimits::Exhausted(Scope scope,
                                                 size_t gateways,
                                                 TimePoint now) const {
  std::vector<std::string> exhausted = brittle_.Full(scope, now);
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
      observed.push_back(
          {server, state.per_second_, state.observed_, state.max_refusals_});
    }
  }
  return observed;
}

bool ServerLimits::IsLimited(std::string_view server, TimePoint now) const {
  const auto known = servers_.find(server);
  return known != servers_.end() && LimitOf(known->second, now).has_value();
}

size_t ServerLimits::CountCold(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [now](const auto& entry) { return IsCold(entry.second, now); }));
}

size_t ServerLimits::CountLimited() const {
  return static_cast<size_t>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& entry) { return entry.second.per_second_.has_value(); }));
}

}  // namespace citronlane
