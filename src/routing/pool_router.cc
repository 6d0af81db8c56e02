#include "citronlane/routing/pool_router.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>
#include <vector>

#include "citronlane/config/pool_config.h"
#include "citronlane/routing/call_priority.h"
#include "citronlane/routing/detail/candidate_picker.h"
#include "citronlane/routing/detail/finish_estimator.h"
#include "citronlane/routing/detail/latency_window.h"
#include "citronlane/routing/detail/prefix_index.h"
#include "citronlane/routing/detail/server_table.h"

namespace citronlane {
namespace {

constexpr Duration kLatencyWindow = std::chrono::seconds(20);
constexpr size_t kPrefixCapacity = 65536;
constexpr size_t kMinQuantileSamples = 20;
constexpr size_t kMinEstimateSamples = 10;
/// Latencies of servers with a higher slow factor are left out of the
/// quantiles: a straggler must not raise the hedge delay of its pool.
constexpr double kMaxTypicalSlowFactor = 2;
/// Typical token intervals without a token after which a stream is stalled.
constexpr double kStallTokenIntervals = 20;
constexpr Duration kMinStallTimeout = std::chrono::milliseconds(250);
/// Consecutive failed calls after which a pool counts as down.
constexpr int kDownConsecutiveFailures = 10;
/// A pool in which no call has ended for this long does not count as down.
constexpr Duration kDownExpiry = std::chrono::seconds(2);
constexpr Duration kPeerExpiry = std::chrono::seconds(3);
/// Servers sampled for an estimate.
constexpr size_t kEstimateSampleServers = 16;

Duration FromUs(double us) {
  return Duration(static_cast<Duration::rep>(us));
}

/// Expected minimum of two different entries of `times` chosen at random.
double ExpectedMinOfTwo(std::vector<double> times) {
  std::sort(times.begin(), times.end());
  const size_t n = times.size();
  if (n == 1) {
    return times.front();
  }
  double sum = 0;
  for (size_t i = 0; i < n; ++i) {
    sum += times[i] * static_cast<double>(n - 1 - i);
  }
  return 2 * sum / static_cast<double>(n * (n - 1));
}

}  // namespace

class PoolRouter::Impl {
 public:
  Impl(const RouterOptions& options, RandomHook random)
      : options_(options),
        servers_(options),
        prefixes_(kPrefixCapacity),
        latencies_(kLatencyWindow),
        first_bytes_(kLatencyWindow),
        picker_(options,
                &servers_,
                &estimator_,
                &prefixes_,
                std::move(random)) {}

  void Update(const PoolConfig& pool, TimePoint now) {
    if (servers_.Update(pool, now)) {
      prefixes_.Reset(servers_.ids());
    }
  }

  /// Records that the gateway sent something at `now`; returns its number.
  uint32_t RecordGatewayContact(std::string_view gateway, TimePoint now) {
    const auto next = static_cast<uint32_t>(gateways_.size());
    const uint32_t number =
        gateways_.emplace(std::string(gateway), next).first->second;
    gateway_last_contact_.resize(gateways_.size());
    gateway_last_contact_[number] = now;
    return number;
  }

  /// Calls `time` for an evenly spaced sample of the usable servers, and
  /// returns the expected minimum of two.
  template <typename Time>
  std::optional<Duration> Estimate(TimePoint now, const Time& time) const {
    const std::vector<uint32_t>& usable = servers_.usable();
    if (usable.empty()) {
      return std::nullopt;
    }
    const size_t count = std::min(usable.size(), kEstimateSampleServers);
    const auto first = static_cast<size_t>(now.time_since_epoch().count());
    std::vector<const ServerState*> sample;
    sample.reserve(count);
    for (size_t i = 0; i < count; ++i) {
      const size_t place = first + i * usable.size() / count;
      sample.push_back(&servers_.at(usable[place % usable.size()]));
    }
    const double planned = PlannedPerServer(now);
    std::vector<double> times;
    times.reserve(count);
    for (const ServerState* server : sample) {
      times.push_back(time(*server, planned));
    }
    return FromUs(ExpectedMinOfTwo(std::move(times)));
  }

  /// Planned calls of all gateways for each usable server: the other gateways
  /// are assumed to plan as many as this one.
  double PlannedPerServer(TimePoint now) const {
    const auto recent = std::count_if(
        gateway_last_contact_.begin(), gateway_last_contact_.end(),
        [now](TimePoint at) { return now - at < kPeerExpiry; });
    return std::max(0, planned_) * (1 + static_cast<double>(recent)) /
           static_cast<double>(servers_.usable().size());
  }

  const RouterOptions options_;
  ServerTable servers_;
  FinishEstimator estimator_;
  PrefixIndex prefixes_;
  LatencyWindow latencies_;
  LatencyWindow first_bytes_;
  CandidatePicker picker_;
  std::unordered_map<std::string, uint32_t> gateways_;
  /// Last contact with each gateway, by its number.
  std::vector<TimePoint> gateway_last_contact_;
  size_t in_flight_ = 0;
  int planned_ = 0;
  /// Failed calls since the last success, over the entire pool.
  int consecutive_failures_ = 0;
  TimePoint outcome_at_{};
};

PoolRouter::PoolRouter(const PoolConfig& pool,
                       const RouterOptions& options,
                       RandomHook random)
    : impl_(std::make_unique<Impl>(options, std::move(random))) {
  impl_->Update(pool, TimePoint());
}

PoolRouter::~PoolRouter() = default;

void PoolRouter::Update(const PoolConfig& pool, TimePoint now) {
  impl_->Update(pool, now);
}

std::optional<ServerChoice> PoolRouter::Choose(
    TimePoint now,
    const CallShape& call,
    absl::Span<const std::string> excluded,
    Error* error) {
  impl_->estimator_.Scale(impl_->servers_.Maintain(now));
  const auto index = impl_->picker_.Pick(now, call, excluded);
  if (!index) {
    error->message_ = impl_->servers_.usable().empty()
                          ? "every server of the pool is draining or ejected"
                          : "every usable server is excluded or being probed";
    return std::nullopt;
  }
  const ServerState& server = impl_->servers_.at(*index);
  const double us = impl_->estimator_.ExpectedTime(
      server, now, call, impl_->prefixes_.Holds(*index, call.prefix_hash_), 0);
  return ServerChoice{server.id(), FromUs(us)};
}

void PoolRouter::OnPlanned(int calls) {
  impl_->planned_ += calls;
}

void PoolRouter::OnStart(std::string_view server,
                         TimePoint now,
                         const CallShape& call) {
  const auto index = impl_->servers_.Find(server);
  if (!index) {
    return;
  }
  ServerState& state = impl_->servers_.at(*index);
  const double usual = impl_->estimator_.TypicalTime(state.Load(now), call);
  const bool hit = impl_->prefixes_.Holds(*index, call.prefix_hash_);
  const auto priority = std::min<uint32_t>(call.priority_, kCallPriorities - 1);
  state.StartCall(now, FromUs(usual), priority, hit);
  ++impl_->in_flight_;
}

void PoolRouter::OnFirstByte(std::string_view server,
                             TimePoint now,
                             Duration latency) {
  const auto index = impl_->servers_.Find(server);
  if (!index) {
    return;
  }
  ServerState& state = impl_->servers_.at(*index);
  const OutstandingCall* started = state.RecordFirstByte(now, latency);
  if (started == nullptr || state.SlowFactor(now) > kMaxTypicalSlowFactor) {
    return;
  }
  impl_->estimator_.LearnFirstByte(*started, latency);
  impl_->first_bytes_.Add(now, latency);
}

void PoolRouter::OnFinish(std::string_view server,
                          TimePoint now,
                          CallOutcome outcome,
                          Duration latency,
                          uint32_t tokens,
                          const CallShape& call) {
  const auto index = impl_->servers_.Find(server);
  if (!index) {
    return;
  }
  ServerState& state = impl_->servers_.at(*index);
  const auto started = state.EndCall(now, latency);
  if (!started) {
    return;
  }
  --impl_->in_flight_;
  state.RecordOutcome(now, outcome);
  if (outcome != CallOutcome::kCancelled) {
    const bool failed = outcome != CallOutcome::kSuccess;
    impl_->consecutive_failures_ =
        failed ? impl_->consecutive_failures_ + 1 : 0;
    impl_->outcome_at_ = now;
  }
  if (outcome == CallOutcome::kCancelled || outcome == CallOutcome::kTimeout) {
    impl_->estimator_.LearnUnfinished(&state, now, *started, latency);
  }
  if (outcome != CallOutcome::kSuccess) {
    return;
  }
  impl_->estimator_.Learn(&state, now, *started, latency, tokens, call);
  if (state.SlowFactor(now) <= kMaxTypicalSlowFactor) {
    impl_->latencies_.Add(now, latency);
  }
  if (call.prefix_hash_ != 0) {
    impl_->prefixes_.OnStored(*index, call.prefix_hash_);
  }
}

void PoolRouter::OnLoadReport(std::string_view server,
                              TimePoint now,
                              Duration age,
                              double queued_calls) {
  if (const auto index = impl_->servers_.Find(server)) {
    impl_->servers_.at(*index).SetReport(now, age, queued_calls);
  }
}

void PoolRouter::OnPeerLoad(std::string_view gateway,
                            std::string_view server,
                            TimePoint now,
                            double in_flight) {
  if (const auto index = impl_->servers_.Find(server)) {
    impl_->servers_.at(*index).SetPeerLoad(
        impl_->RecordGatewayContact(gateway, now), now, in_flight);
  }
}

void PoolRouter::OnLeaving(std::string_view server,
                           uint64_t incarnation,
                           TimePoint now) {
  impl_->servers_.MarkLeaving(server, incarnation);
  impl_->estimator_.Scale(impl_->servers_.Maintain(now));
}

void PoolRouter::OnAlive(std::string_view server,
                         uint64_t incarnation,
                         TimePoint now) {
  if (!impl_->servers_.MarkAlive(server, incarnation, now)) {
    return;
  }
  impl_->prefixes_.Invalidate(*impl_->servers_.Find(server));
  impl_->estimator_.Scale(impl_->servers_.Maintain(now));
}

void PoolRouter::OnCacheEvent(std::string_view server,
                              uint64_t sequence,
                              uint64_t prefix_hash,
                              bool stored) {
  if (const auto index = impl_->servers_.Find(server)) {
    impl_->prefixes_.OnEvent(*index, sequence, prefix_hash, stored);
  }
}

std::optional<Duration> PoolRouter::HedgeDelay(const CallShape& call) const {
  const LatencyWindow& window =
      call.expected_tokens_ > 0 ? impl_->first_bytes_ : impl_->latencies_;
  return window.Quantile(impl_->options_.hedge_quantile_, kMinQuantileSamples);
}

std::optional<Duration> PoolRouter::LatencyQuantile(double quantile) const {
  return impl_->latencies_.Quantile(quantile, kMinQuantileSamples);
}

std::optional<Duration> PoolRouter::ExpectedFinish(
    TimePoint now,
    const CallShape& call) const {
  if (impl_->estimator_.samples() < kMinEstimateSamples) {
    return std::nullopt;
  }
  return impl_->Estimate(now, [&](const ServerState& server, double planned) {
    return impl_->estimator_.ExpectedTime(server, now, call, false, planned);
  });
}

std::optional<Duration> PoolRouter::ExpectedFirstByte(
    TimePoint now,
    const CallShape& call) const {
  if (call.expected_tokens_ == 0) {
    return ExpectedFinish(now, call);
  }
  if (impl_->estimator_.first_byte_samples() < kMinEstimateSamples) {
    return std::nullopt;
  }
  return impl_->Estimate(now, [&](const ServerState& server, double planned) {
    return impl_->estimator_.ExpectedFirstByte(server, now, call, planned);
  });
}

std::optional<Duration> PoolRouter::StreamStallTimeout() const {
  const double interval = impl_->estimator_.TokenInterval();
  if (interval <= 0) {
    return std::nullopt;
  }
  return std::max(kMinStallTimeout, FromUs(interval * kStallTokenIntervals));
}

bool PoolRouter::IsDown(TimePoint now) const {
  const bool fresh = now - impl_->outcome_at_ < kDownExpiry;
  return fresh && impl_->consecutive_failures_ >= kDownConsecutiveFailures;
}

size_t PoolRouter::usable_servers(TimePoint /*now*/) const {
  return impl_->servers_.usable().size();
}

size_t PoolRouter::planned() const {
  return static_cast<size_t>(std::max(0, impl_->planned_));
}

size_t PoolRouter::in_flight() const {
  return impl_->in_flight_;
}

}  // namespace citronlane
