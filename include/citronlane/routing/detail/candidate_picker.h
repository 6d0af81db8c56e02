#ifndef CITRONLANE_ROUTING_DETAIL_CANDIDATE_PICKER_H_
#define CITRONLANE_ROUTING_DETAIL_CANDIDATE_PICKER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/call_shape.h"
#include "citronlane/routing/router_options.h"

namespace citronlane {

class FinishEstimator;
class PrefixIndex;
class ServerTable;

/// Picks the server of a call among a few candidates: randomly sampled servers
/// (two near ones and a far one where domains count, else two of all), the
/// holder of the call's prefix, and the prefix's preferred server. Borrows its
/// inputs, which must outlive it. Not thread safe.
class CandidatePicker {
 public:
  /// Returns a number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t)>;

  CandidatePicker(const RouterOptions& options,
                  const ServerTable* servers,
                  const FinishEstimator* estimator,
                  const PrefixIndex* prefixes,
                  RandomHook random);

  /// Index of the server to call, or nothing when none may take the call.
  std::optional<uint32_t> Pick(TimePoint now,
                               const CallShape& call,
                               absl::Span<const std::string> excluded);

 private:
  struct Candidate {
    uint32_t index_;
    /// Expected time in microseconds, times penalties.
    double cost_;
    double load_;
  };

  /// Whether the server is usable, not excluded, and no probe call runs there.
  bool IsEligible(uint32_t index) const;
  Candidate Evaluate(TimePoint now,
                     const CallShape& call,
                     uint32_t index) const;
  /// Appends up to `count` eligible servers of `from` to `sampled`.
  void Sample(const std::vector<uint32_t>& from,
              size_t count,
              std::vector<uint32_t>* sampled);
  std::optional<uint32_t> PickRoundRobin();
  std::optional<uint32_t> PickLeastInFlight();
  std::optional<uint32_t> PickExpectedFinish(TimePoint now,
                                             const CallShape& call);
  std::optional<uint32_t> PickByPrefix(TimePoint now,
                                       const CallShape& call,
                                       const Candidate& best,
                                       double mean_load) const;

  const RouterOptions options_;
  const ServerTable* const servers_;
  const FinishEstimator* const estimator_;
  const PrefixIndex* const prefixes_;
  const RandomHook random_;
  /// Servers that the current call must not use.
  std::vector<uint32_t> excluded_;
  /// Candidates of the current call, kept to reuse the memory.
  std::vector<uint32_t> sampled_;
  /// Position of the round robin.
  size_t next_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_CANDIDATE_PICKER_H_
