#include "citronlane/routing/detail/finish_estimator.h"

#include <algorithm>

namespace citronlane {
namespace {

constexpr double kSampleWeight = 0.02;
/// Work of a call beside its tokens, in tokens.
constexpr double kCallWork = 8;
/// Time assumed for one unit of work while nothing is known.
constexpr double kUnknownTimeUs = 1000;
constexpr size_t kAffinitySamples = 20;
constexpr double kLowestDiscount = 0.3;

double WorkOf(double tokens) {
  return tokens > 0 ? tokens + kCallWork : 1;
}

double Us(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

FinishEstimator::FinishEstimator()
    : token_ratio_(kSampleWeight),
      hit_(kSampleWeight),
      miss_(kSampleWeight),
      tokens_(kSampleWeight),
      stream_time_(kSampleWeight),
      first_byte_time_(kSampleWeight) {}

double FinishEstimator::Work(const CallShape& call) const {
  const double ratio = token_ratio_.count() > 0 ? token_ratio_.value() : 1;
  return WorkOf(call.expected_tokens_ * ratio);
}

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

double FinishEstimator::Usual(double load, const CallShape& call) const {
  if (samples_ == 0) {
    return kUnknownTimeUs * (load + 1) * Work(call);
  }
  return CurveOf(curves_, call.priority_).At(load) * Work(call);
}

double FinishEstimator::Expected(const ServerState& server,
                                 TimePoint now,
                                 const CallShape& call,
                                 bool prefix_hit,
                                 double planned) const {
  const double usual = Usual(server.Load(now) + planned, call);
  double discount = 1;
  if (prefix_hit && hit_.count() >= kAffinitySamples &&
      miss_.count() >= kAffinitySamples) {
    discount = std::clamp(hit_.value() / miss_.value(), kLowestDiscount, 1.0);
  }
  return usual * server.SlowFactor(now) * discount;
}

double FinishEstimator::ExpectedFirstByte(const ServerState& server,
                                          TimePoint now,
                                          const CallShape& call,
                                          double planned) const {
  // Past what was seen a call waits for the ones before it to end.
  const LoadCurve& first_byte = CurveOf(first_bytes_, call.priority_);
  const double seen = first_byte.HighestLoad();
  const double whole = CurveOf(curves_, call.priority_).At(seen);
  const double per_call = whole * WorkOf(tokens_.value()) / (seen + 1);
  return first_byte.At(server.Load(now) + planned, per_call) *
         server.SlowFactor(now);
}

void FinishEstimator::Learn(ServerState* server,
                            TimePoint now,
                            const OutstandingCall& started,
                            Duration latency,
                            uint32_t tokens,
                            const CallShape& call) {
  if (call.expected_tokens_ > 0) {
    token_ratio_.Add(static_cast<double>(tokens) / call.expected_tokens_);
    tokens_.Add(tokens);
    stream_time_.Add(Us(latency));
  }
  const double unit = Us(latency) / WorkOf(tokens);
  const double slow = server->SlowFactor(now);
  const LoadCurve& curve = CurveOf(curves_, started.priority_);
  const double usual = curve.count() > 0 ? curve.At(started.load_) : unit;
  if (usual > 0) {
    (started.prefix_hit_ ? hit_ : miss_).Add(unit / usual);
    server->AddSlowSample(now, unit / usual);
  }
  curves_[started.priority_].Add(started.load_, unit / std::max(1.0, slow));
  ++samples_;
}

void FinishEstimator::LearnUnfinished(ServerState* server,
                                      TimePoint now,
                                      const OutstandingCall& started,
                                      Duration latency) {
  if (started.expected_ > Duration::zero()) {
    const double slow = Us(latency) / Us(started.expected_);
    if (slow > server->SlowFactor(now)) {
      server->AddSlowSample(now, slow);
    }
  }
}

void FinishEstimator::LearnFirstByte(const OutstandingCall& started,
                                     Duration latency) {
  first_bytes_[started.priority_].Add(started.load_, Us(latency));
  ++first_byte_samples_;
  first_byte_time_.Add(Us(latency));
}

void FinishEstimator::Scale(double factor) {
  for (LoadCurve& curve : curves_) {
    curve.Scale(factor);
  }
}

double FinishEstimator::TokenInterval() const {
  if (tokens_.value() <= 0) {
    return 0;
  }
  const double streaming = stream_time_.value() - first_byte_time_.value();
  return std::max(0.0, streaming) / tokens_.value();
}

}  // namespace citronlane
