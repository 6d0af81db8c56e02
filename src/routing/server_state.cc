#include "citronlane/routing/detail/server_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronlane {
namespace {

/// Weights of the newest sample in the moving averages.
constexpr double kFailureSampleWeight = 0.2;
constexpr double kSlowSampleWeight = 0.25;
constexpr double kMinSlowFactor = 0.2;
constexpr double kMaxSlowFactor = 50;
/// Half-life of evidence against a server, while none is added.
constexpr Duration kSlowHalfLife = std::chrono::seconds(10);
constexpr Duration kFailureHalfLife = std::chrono::seconds(5);
/// Time constant of the decay of a load report, after which the peers' loads
/// count.
constexpr Duration kReportTimeConstant = std::chrono::seconds(1);
constexpr Duration kPeerExpiry = std::chrono::seconds(3);
/// Below this failure ratio the count of earlier ejections is reset.
constexpr double kHealthyFailureRatio = 0.1;
/// From these values on, a server is compared with its peers.
constexpr double kSuspectFailureRatio = 0.3;
constexpr double kSuspectSlowFactor = 2;

double Ratio(Duration dividend, Duration divisor) {
  return static_cast<double>(dividend.count()) /
         static_cast<double>(divisor.count());
}

double DecayFactor(Duration age, Duration half_life) {
  return std::exp2(-Ratio(age, half_life));
}

bool IsFailure(CallOutcome outcome) {
  return outcome != CallOutcome::kSuccess && outcome != CallOutcome::kCancelled;
}

}  // namespace

ServerState::ServerState(std::string id, bool near)
    : id_(std::move(id)),
      near_(near),
      failures_(kFailureSampleWeight),
      slow_(kSlowSampleWeight) {}

void ServerState::StartCall(TimePoint now,
                            Duration expected,
                            uint32_t priority,
                            bool prefix_hit) {
  calls_.push_back(
      {now, Load(now), expected, priority, Duration::zero(), prefix_hit});
  start_sum_ += now.time_since_epoch();
  expected_sum_ += expected;
}

std::vector<OutstandingCall>::iterator ServerState::Find(TimePoint start) {
  return std::min_element(
      calls_.begin(), calls_.end(),
      [start](const OutstandingCall& a, const OutstandingCall& b) {
        return std::chrono::abs(a.start_ - start) <
               std::chrono::abs(b.start_ - start);
      });
}

const OutstandingCall* ServerState::RecordFirstByte(TimePoint now,
                                                    Duration latency) {
  const auto found = Find(now - latency);
  if (found == calls_.end()) {
    return nullptr;
  }
  found->first_byte_ = latency;
  return &*found;
}

std::optional<OutstandingCall> ServerState::EndCall(TimePoint now,
                                                    Duration latency) {
  const auto found = Find(now - latency);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  const OutstandingCall call = *found;
  start_sum_ -= call.start_.time_since_epoch();
  expected_sum_ -= call.expected_;
  calls_.erase(found);
  return call;
}

double ServerState::OverdueRatio(TimePoint now) const {
  if (calls_.empty() || expected_sum_ <= Duration::zero()) {
    return 0;
  }
  const auto count = static_cast<Duration::rep>(calls_.size());
  return Ratio(now.time_since_epoch() * count - start_sum_, expected_sum_);
}

void ServerState::SetReport(TimePoint now, Duration age, double queued_calls) {
  const TimePoint made = now - age;
  if (reported_at_ && made < *reported_at_) {
    return;
  }
  reported_at_ = made;
  const auto own = static_cast<double>(calls_.size());
  reported_others_ = std::max(0.0, queued_calls - own);
}

void ServerState::SetPeerLoad(uint32_t gateway,
                              TimePoint now,
                              double in_flight) {
  const auto found = std::find_if(
      peers_.begin(), peers_.end(),
      [gateway](const PeerLoad& peer) { return peer.gateway_ == gateway; });
  if (found == peers_.end()) {
    peers_.push_back({gateway, in_flight, now});
    peer_sum_ += in_flight;
    return;
  }
  peer_sum_ += in_flight - found->in_flight_;
  found->in_flight_ = in_flight;
  found->at_ = now;
}

void ServerState::ExpirePeers(TimePoint now) {
  peers_.erase(std::remove_if(peers_.begin(), peers_.end(),
                              [now](const PeerLoad& peer) {
                                return peer.at_ + kPeerExpiry < now;
                              }),
               peers_.end());
  peer_sum_ = 0;
  for (const PeerLoad& peer : peers_) {
    peer_sum_ += peer.in_flight_;
  }
}

double ServerState::Load(TimePoint now) const {
  double others = peer_sum_;
  if (reported_at_) {
    const double fade =
        std::exp(-Ratio(now - *reported_at_, kReportTimeConstant));
    others = std::max(others, reported_others_ * fade);
  }
  return static_cast<double>(calls_.size()) + others;
}

void ServerState::RecordOutcome(TimePoint now, CallOutcome outcome) {
  if (outcome == CallOutcome::kCancelled) {
    return;
  }
  const bool failed = IsFailure(outcome);
  failures_.Add(failed ? 1.0 : 0.0);
  failure_at_ = now;
  consecutive_failures_ = failed ? consecutive_failures_ + 1 : 0;
  if (!failed && probing_) {
    probing_ = false;
  }
  if (!failed && failures_.value() < kHealthyFailureRatio) {
    ejections_ = 0;
  }
}

double ServerState::FailureRatio(TimePoint now) const {
  return failures_.value() * DecayFactor(now - failure_at_, kFailureHalfLife);
}

double ServerState::SlowFactor(TimePoint now) const {
  // On average a call in flight has waited for half of its time.
  const double overdue = OverdueRatio(now) / 2;
  if (slow_.count() == 0) {
    return std::max(1.0, overdue);
  }
  const double fade = DecayFactor(now - slow_at_, kSlowHalfLife);
  return std::max(1 + (slow_.value() - 1) * fade, overdue);
}

void ServerState::AddSlowSample(TimePoint now, double factor) {
  slow_.Add(std::clamp(factor, kMinSlowFactor, kMaxSlowFactor));
  slow_at_ = now;
}

bool ServerState::MayBeOutlier(TimePoint now) const {
  return consecutive_failures_ > 0 ||
         failures_.value() >= kSuspectFailureRatio ||
         slow_.value() >= kSuspectSlowFactor ||
         OverdueRatio(now) >= kSuspectSlowFactor;
}

void ServerState::Eject(TimePoint until) {
  ejected_until_ = until;
  ++ejections_;
}

void ServerState::BeginProbe(TimePoint now) {
  probing_ = true;
  consecutive_failures_ = 0;
  failures_.Reset();
  slow_.Reset();
  slow_at_ = now;
}

void ServerState::Reset(TimePoint now) {
  BeginProbe(now);
  ejected_until_ = TimePoint();
  ejections_ = 0;
  reported_at_.reset();
}

}  // namespace citronlane
