#include "citronlane/routing/request_cost_model.h"

#include <algorithm>
#include <cmath>

namespace citronlane {
namespace {

constexpr double kSampleWeight = 0.05;
constexpr size_t kMinSamples = 8;
/// An account is told apart from its route if its variance is below this
/// multiple of the route's.
constexpr double kAccountGain = 0.8;
/// What is older is not used.
constexpr Duration kMaxAge = std::chrono::minutes(10);
/// Standard deviations from the median to the upper quantile of nine in ten.
constexpr double kUpperDeviations = 1.2816;
/// Bounds declared and learned numbers, in tokens.
constexpr double kMaxTokens = 1e7;
/// Bounds a ratio of output to estimate, as a logarithm.
constexpr double kMaxLogRatio = 7;
constexpr double kMaxTokensPerOutput = 64;

std::string RouteKey(const RequestFacts& facts) {
  return std::string(facts.route_);
}

// Routes' names hold no zero byte.
std::string AccountKey(const RequestFacts& facts) {
  std::string key(facts.route_);
  key.push_back('\0');
  key.append(facts.account_);
  return key;
}

double Bounded(double tokens) {
  return std::isfinite(tokens) ? std::clamp(tokens, 0.0, kMaxTokens) : 0;
}

}  // namespace

void RequestCostModel::Spread::Add(double value) {
  ++count_;
  const double weight =
      std::max(kSampleWeight, 1.0 / static_cast<double>(count_));
  const double difference = value - mean_;
  mean_ += weight * difference;
  variance_ = (1 - weight) * (variance_ + weight * difference * difference);
}

double RequestCostModel::Spread::Uncertainty() const {
  const double count = static_cast<double>(std::max<size_t>(count_, 1));
  return variance_ * (1 + 1 / count) + 1 / (count * count);
}

const RequestCostModel::Entry* RequestCostModel::Find(TimePoint now,
                                                      const std::string& key) {
  const auto it = by_key_.find(key);
  if (it == by_key_.end() || now - it->second->last_learned_ > kMaxAge) {
    return nullptr;
  }
  entries_.splice(entries_.begin(), entries_, it->second);
  return &*it->second;
}

std::optional<RequestCostModel::Prediction> RequestCostModel::Predict(
    const Entry* entry,
    double estimate) {
  std::optional<Prediction> best;
  if (entry == nullptr) {
    return best;
  }
  if (entry->output_.count_ >= kMinSamples) {
    best = Prediction{entry->output_.mean_, entry->output_.Uncertainty()};
  }
  if (estimate > 0 && entry->ratio_.count_ >= kMinSamples &&
      (!best || entry->ratio_.Uncertainty() < best->variance_)) {
    best = Prediction{std::log(estimate) + entry->ratio_.mean_,
                      entry->ratio_.Uncertainty()};
  }
  return best;
}

double RequestCostModel::TokensPerOutput() const {
  return all_ratios_.count_ < kMinSamples
             ? 1
             : std::clamp(std::exp(-all_ratios_.mean_), 1.0,
                          kMaxTokensPerOutput);
}

RequestCost RequestCostModel::Estimate(TimePoint now,
                                       const RequestFacts& facts) {
  const double prompt = Bounded(
      facts.segment_tokens_ > 0 ? facts.segment_tokens_
                                : static_cast<double>(facts.prompt_tokens_));
  const double limit = facts.max_output_tokens_ == 0
                           ? kMaxTokens
                           : Bounded(facts.max_output_tokens_);
  const double declared =
      std::min(Bounded(facts.expected_output_tokens_), limit);
  RequestCost cost;
  const double prefill = std::max(0.0, prompt - Bounded(facts.held_tokens_));
  cost.prefill_ = {prefill, prefill};
  auto predicted = Predict(Find(now, RouteKey(facts)), declared);
  if (!facts.account_.empty()) {
    const auto of_account = Predict(Find(now, AccountKey(facts)), declared);
    if (of_account && (!predicted || of_account->variance_ <
                                         kAccountGain * predicted->variance_)) {
      predicted = of_account;
    }
  }
  if (!predicted) {
    const double upper = facts.max_output_tokens_ == 0 ? declared : limit;
    cost.memory_ = {prompt + declared, prompt + upper};
    return cost;
  }
  const double per_output = TokensPerOutput();
  const double most = limit / per_output;
  const double deviation = std::sqrt(predicted->variance_);
  cost.output_.expected_ =
      std::min(most, std::exp(predicted->mean_ + predicted->variance_ / 2));
  cost.output_.upper_ = std::max(
      cost.output_.expected_,
      std::min(most,
               std::exp(predicted->mean_ + kUpperDeviations * deviation)));
  cost.memory_ = {prompt + cost.output_.expected_ * per_output,
                  prompt + cost.output_.upper_ * per_output};
  return cost;
}

void RequestCostModel::Learn(TimePoint now,
                             const RequestFacts& facts,
                             double output) {
  if (!std::isfinite(output) || output <= 0) {
    return;
  }
  output = std::min(output, kMaxTokens);
  const double estimate = Bounded(facts.expected_output_tokens_);
  if (estimate > 0) {
    all_ratios_.Add(
        std::clamp(std::log(output / estimate), -kMaxLogRatio, kMaxLogRatio));
  }
  LearnIn(now, RouteKey(facts), output, estimate);
  if (!facts.account_.empty()) {
    LearnIn(now, AccountKey(facts), output, estimate);
  }
}

void RequestCostModel::LearnIn(TimePoint now,
                               const std::string& key,
                               double output,
                               double estimate) {
  if (Find(now, key) == nullptr) {
    if (const auto outdated = by_key_.find(key); outdated != by_key_.end()) {
      entries_.erase(outdated->second);
      by_key_.erase(outdated);
    }
    while (entries_.size() >= std::max<size_t>(max_keys_, 2)) {
      by_key_.erase(entries_.back().key_);
      entries_.pop_back();
    }
    entries_.emplace_front();
    entries_.front().key_ = key;
    by_key_[key] = entries_.begin();
  }
  Entry& entry = entries_.front();
  entry.last_learned_ = now;
  entry.output_.Add(std::log(output));
  if (estimate > 0) {
    entry.ratio_.Add(
        std::clamp(std::log(output / estimate), -kMaxLogRatio, kMaxLogRatio));
  }
}

}  // namespace citronlane
