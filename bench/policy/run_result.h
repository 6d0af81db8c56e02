#ifndef CITRONLANE_BENCH_POLICY_RUN_RESULT_H_
#define CITRONLANE_BENCH_POLICY_RUN_RESULT_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/base/time.h"
#include "policy/tally.h"

namespace citronlane {

/// Result of a run. Requests are counted in the measured interval only, calls
/// in the whole run.
struct RunResult {
  std::string deployment_;
  std::string scenario_;
  std::string policy_;
  /// Interactive requests: all, by class and by account.
  Tally interactive_;
  std::map<std::string, Tally> by_class_;
  std::map<std::string, Tally> by_account_;
  std::map<std::string, uint64_t> refusals_;
  std::map<std::string, uint64_t> failures_;
  std::map<std::string, uint64_t> hedges_;
  std::map<std::string, uint64_t> retries_;
  /// Cost of all calls by pool, including hedges and retries.
  std::map<std::string, double> cost_by_stage_;
  double hedge_cost_ = 0;
  uint64_t first_calls_ = 0;
  uint64_t hedge_calls_ = 0;
  uint64_t retry_calls_ = 0;
  /// Engine time of the requests that met their target, and slot time of the
  /// engines in the measured interval.
  Duration useful_engine_time_{};
  Duration engine_time_{};

  /// Adds the counts of another run of the same scenario and policy.
  void Add(const RunResult& other);

  /// Ratio of the small accounts' requests that met their target to those
  /// offered.
  double SmallAccounts() const;
  double Cost() const;
  double Goodput() const;
  double RetryAmplification() const;
  double HedgeCostPart() const;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_RUN_RESULT_H_
