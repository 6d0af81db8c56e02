#include "citronlane/routing/detail/finish_estimator.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Weight of the newest sample in the moving averages.
constexpr double kSampleWeight = 0.02;
/// Assumed time of a call, or a token, before the first observation.
constexpr double kUnknownTimeUs = 1000;
/// Samples of cache hits and of misses before hits count as faster.
constexpr size_t kMinAffinitySamples = 20;
/// Lower bound of the time of a cache hit relative to a miss.
constexpr double kMinPrefixDiscount = 0.3;

double ToUs(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

FinishEstimator::FinishEstimator()
    : token_ratio_(kSampleWeight),
      tokens_(kSampleWeight),
      interval_(kSampleWeight),
      hit_(kSampleWeight),
      miss_(kSampleWeight) {}

const LoadCurve& FinishEstimator::CurveOf(const Curves& curves,
                                          uint32_t priority) {
  const LoadCurve& own =
      curves[std::min<size_t>(priority, kCallPriorities - 1)];
  if (own.count() > 0) {
    return own;
  }
  const auto* known =
      std::find_if(curves.begin(), curves.end(),
                   [](const LoadCurve& curve) { return curve.count() > 0; });
  return known == curves.end() ? own : *known;
}

double FinishEstimator::Streaming(double load, double tokens) const {
  return intervals_.At(load) * tokens;
}

double FinishEstimator::FirstByte(double load, uint32_t priority) const {
  const LoadCurve& curve = CurveOf(first_bytes_, priority);
  // Beyond the highest observed load, a call waits for earlier ones to end.
  const double highest = curve.HighestLoad();
  const double call_time =
      curve.At(highest) + Streaming(highest, tokens_.value());
  return curve.At(load, call_time / (highest + 1));
}

double FinishEstimator::TypicalTime(double load, const CallShape& call) const {
  if (samples_ == 0) {
    return kUnknownTimeUs * (load + 1) * (1 + call.expected_tokens_);
  }
  if (call.expected_tokens_ == 0) {
    return CurveOf(call_times_, call.priority_).At(load);
  }
  return FirstByte(load, call.priority_) +
         Streaming(load, call.expected_tokens_ * token_ratio_.value());
}

double FinishEstimator::ExpectedTime(const ServerState& server,
                                     TimePoint now,
                                     const CallShape& call,
                                     bool prefix_hit,
                                     double planned) const {
  const double usual = TypicalTime(server.Load(now) + planned, call);
  double discount = 1;
  if (prefix_hit && hit_.count() >= kMinAffinitySamples &&
      miss_.count() >= kMinAffinitySamples) {
    discount =
        std::clamp(hit_.value() / miss_.value(), kMinPrefixDiscount, 1.0);
  }
  return usual * server.SlowFactor(now) * discount;
}

double FinishEstimator::ExpectedFirstByte(const ServerState& server,
                                          TimePoint now,
                                          const CallShape& call,
                                          double planned) const {
  return FirstByte(server.Load(now) + planned, call.priority_) *
         server.SlowFactor(now);
}

void FinishEstimator::LearnTypicalTime(const OutstandingCall& started,
                                       double latency,
                                       uint32_t tokens,
                                       double slow) {
  if (tokens == 0) {
    call_times_[started.priority_].Add(started.load_, latency / slow);
    return;
  }
  if (started.first_byte_ > Duration::zero()) {
    const double interval = (latency - ToUs(started.first_byte_)) / tokens;
    intervals_.Add(started.load_, interval / slow);
    interval_.Add(interval);
  }
}

void FinishEstimator::Learn(ServerState* server,
                            TimePoint now,
                            const OutstandingCall& started,
                            Duration latency,
                            uint32_t tokens,
                            const CallShape& call) {
  const double usual =
      tokens == 0 ? CurveOf(call_times_, started.priority_).At(started.load_)
                  : FirstByte(started.load_, started.priority_) +
                        Streaming(started.load_, tokens);
  const double slow = server->SlowFactor(now);
  if (usual > 0) {
    (started.prefix_hit_ ? hit_ : miss_).Add(ToUs(latency) / usual);
    server->AddSlowSample(now, ToUs(latency) / usual);
  }
  LearnTypicalTime(started, ToUs(latency), tokens, std::max(1.0, slow));
  if (call.expected_tokens_ > 0) {
    token_ratio_.Add(static_cast<double>(tokens) / call.expected_tokens_);
    tokens_.Add(tokens);
  }
  ++samples_;
}

void FinishEstimator::LearnUnfinished(ServerState* server,
                                      TimePoint now,
                                      const OutstandingCall& started,
                                      Duration latency) {
  if (started.expected_ > Duration::zero()) {
    const double slow = ToUs(latency) / ToUs(started.expected_);
    if (slow > server->SlowFactor(now)) {
      server->AddSlowSample(now, slow);
    }
  }
}

void FinishEstimator::LearnFirstByte(const OutstandingCall& started,
                                     Duration latency) {
  first_bytes_[started.priority_].Add(started.load_, ToUs(latency));
  ++first_byte_samples_;
}

void FinishEstimator::Scale(double factor) {
  intervals_.Scale(factor);
  for (size_t i = 0; i < kCallPriorities; ++i) {
    call_times_[i].Scale(factor);
    first_bytes_[i].Scale(factor);
  }
}

}  // namespace citronlane
