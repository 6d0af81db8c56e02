#ifndef CITRONLANE_BENCH_POLICY_RUN_RESULT_H_
#define CITRONLANE_BENCH_POLICY_RUN_RESULT_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/base/time.h"
#include "policy/tally.h"

namespace citronlane {

/// Counts of one run. Requests are counted if they arrive in the measured time,
/// calls always.
struct RunResult {
  std::string deployment_;
  std::string scenario_;
  std::string policy_;
  /// Interactive requests; by class and by account likewise.
  Tally interactive_;
  std::map<std::string, Tally> by_class_;
  std::map<std::string, Tally> by_account_;
  std::map<std::string, uint64_t> refusals_;
  std::map<std::string, uint64_t> failures_;
  std::map<std::string, uint64_t> hedges_;
  std::map<std::string, uint64_t> retries_;
  /// Cost by pool of all calls, hedges and retries included.
  std::map<std::string, double> cost_by_stage_;
  double hedge_cost_ = 0;
  uint64_t first_calls_ = 0;
  uint64_t hedge_calls_ = 0;
  uint64_t retry_calls_ = 0;
  /// Engine time of requests that met their target, over the engines' slot time
  /// in the measured time.
  Duration useful_engine_time_{};
  Duration engine_time_{};

  /// Adds the counts of another run of the same scenario and policy.
  void Add(const RunResult& other);

  /// Fraction of the small accounts' offered requests that met their target.
  double SmallAccounts() const;
  double Cost() const;
  double Goodput() const;
  double RetryAmplification() const;
  double HedgeCostRatio() const;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_RUN_RESULT_H_
