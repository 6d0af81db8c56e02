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

/// Picks the server of a call among a few candidates: two at random (near
/// first, one far), the holder of the call's prefix and the prefix's home.
/// Borrows its inputs. Not thread safe.
class CandidatePicker {
 public:
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
    double cost_;
    double load_;
  };

  bool MayTake(uint32_t index) const;
  Candidate Weigh(TimePoint now, const CallShape& call, uint32_t index) const;
  void Draw(const std::vector<uint32_t>& from,
            size_t count,
            std::vector<uint32_t>* drawn);
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
  /// Servers the present call was already sent to.
  std::vector<uint32_t> excluded_;
  std::vector<uint32_t> drawn_;
  size_t next_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_DETAIL_CANDIDATE_PICKER_H_
