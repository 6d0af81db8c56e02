#ifndef CITRONLANE_ROUTING_REQUEST_COST_MODEL_H_
#define CITRONLANE_ROUTING_REQUEST_COST_MODEL_H_

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "citronlane/base/time.h"
#include "citronlane/routing/request_cost.h"
#include "citronlane/routing/request_facts.h"

namespace citronlane {

/// Estimates what requests cost, from what callers declare and from the output
/// of earlier requests of the same route, and of the same account where that
/// explains more. Output is counted in any unit that is the same for all
/// requests of a route. Bounded in memory: the least recently used routes and
/// accounts are forgotten. Not thread safe.
class RequestCostModel {
 public:
  /// `max_keys`: routes, and accounts of a route, that are remembered; at least
  /// 2.
  explicit RequestCostModel(size_t max_keys = kDefaultMaxKeys)
      : max_keys_(max_keys) {}

  RequestCost Estimate(TimePoint now, const RequestFacts& facts);

  /// Takes the output of a request that ran to its end. An output that is not
  /// finite or not above 0 is ignored.
  void Learn(TimePoint now, const RequestFacts& facts, double output);

  /// Routes and accounts remembered.
  size_t keys() const { return entries_.size(); }

 private:
  static constexpr size_t kDefaultMaxKeys = 1024;

  /// Decayed mean and variance of logarithms.
  struct Spread {
    void Add(double value);
    /// Variance of a new value around the mean, as far as it is known.
    double Uncertainty() const;

    size_t count_ = 0;
    double mean_ = 0;
    double variance_ = 0;
  };
  struct Entry {
    std::string key_;
    TimePoint last_learned_;
    /// Output, and output by the caller's estimate.
    Spread output_;
    Spread ratio_;
  };
  using Entries = std::list<Entry>;
  /// Logarithm of the output, and its variance.
  struct Prediction {
    double mean_ = 0;
    double variance_ = 0;
  };

  /// Null when unknown or outdated.
  const Entry* Find(TimePoint now, const std::string& key);
  void LearnIn(TimePoint now,
               const std::string& key,
               double output,
               double estimate);
  static std::optional<Prediction> Predict(const Entry* entry, double estimate);
  /// Tokens for each unit of output, as callers' estimates show.
  double TokensPerOutput() const;

  const size_t max_keys_;
  /// The most recently used first.
  Entries entries_;
  std::unordered_map<std::string, Entries::iterator> by_key_;
  /// Output by the caller's estimate, of all requests.
  Spread all_ratios_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_REQUEST_COST_MODEL_H_
