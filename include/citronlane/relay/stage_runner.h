#ifndef CITRONLANE_RELAY_STAGE_RUNNER_H_
#define CITRONLANE_RELAY_STAGE_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/stages/stage_forecast.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_wait.h"

namespace citronlane {

class FleetView;
class StageOwners;
class Waker;
struct RelayJob;

/// Runs the stages of one request: each as soon as the stages it depends on are
/// done, all of its pieces on the inputs of this request only. Frees each
/// result once it is no longer needed. Used by the request's handler.
class StageRunner {
 public:
  enum class Result { kDone, kLate, kFailed, kCallerGone, kInterrupted };

  /// `job`, `view` and `owners` must outlive the runner.
  StageRunner(const RelayJob* job,
              const FleetView* view,
              StageOwners* owners,
              std::shared_ptr<Waker> waker);
  /// Cancels what is in progress and frees the remaining results.
  ~StageRunner();
  StageRunner(const StageRunner&) = delete;
  StageRunner& operator=(const StageRunner&) = delete;

  /// Whether the request has any stage to run.
  bool HasWork() const;

  /// Whether the pool of any of its stages is divided by failure domain.
  bool IsDivided() const;
  /// Announces all stages to their pools, in `failure_domain` where pools are
  /// divided, and collects the expected waits. Suspends the handler for a
  /// moment.
  void Announce(std::string failure_domain);
  /// A failure domain other than the announced one that has partitions of the
  /// divided pools; empty when there is none. `random` selects it.
  std::string OtherDomain(uint64_t random) const;
  /// Announces the request in another failure domain too and keeps the
  /// announcement that is expected to finish sooner. Returns its failure
  /// domain. Suspends the handler for a moment.
  std::string CompareWith(std::string failure_domain);

  /// Expected time until the response begins, computed from the waits that the
  /// pools reported: behind all their pieces, or (`behind_all` is false) only
  /// behind those that can still meet their target.
  Duration ExpectedTime(bool behind_all) const;

  /// The request cannot meet its target: its pieces come after those of
  /// requests that can.
  void SetLate();
  bool is_late() const { return is_late_; }

  /// Failure domain in which the request's server will probably be.
  void SetResultDomain(std::string domain) {
    result_domain_ = std::move(domain);
  }

  /// Runs all stages; when called again, makes their results again. Ends as
  /// interrupted once `is_needless` returns true; it is called whenever the
  /// handler wakes. Suspends the handler.
  Result Run(const std::function<bool()>& is_needless);

  /// Handles of the results that the request itself needs.
  std::vector<std::string> Inputs() const;
  /// Failure domain that holds most bytes of those results; empty when there
  /// are none.
  std::string InputDomain() const;
  /// Approximate size of those results in bytes.
  uint64_t InputBytes() const;
  /// Whether the results are so large that their distance to the engine
  /// matters.
  bool HasLargeResults() const;
  /// The request has fetched its inputs: frees all results and cancels what is
  /// in progress.
  void FreeAll();

  /// Whether a server may have got a piece, here or at a gateway that forwarded
  /// the request.
  bool was_sent() const;
  /// Whether no piece was handed to a server.
  bool not_run() const { return not_run_; }
  /// Reason of the failure, for the log.
  std::string_view failure() const;

 private:
  struct Stage {
    uint32_t pieces_ = 0;
    std::optional<uint64_t> job_;
    bool is_submitted_ = false;
    /// Wait that its pool reported when it was announced.
    std::optional<StageWait> wait_;
    bool is_done_ = false;
    /// Its servers have fetched its inputs.
    bool has_inputs_ = false;
    bool is_freed_ = false;
    TimePoint done_at_;
    std::vector<std::string> handles_;
  };
  // Filled by the hooks of jobs; outlives the runner.
  struct Events;

  Result RunOnce(const std::function<bool()>& is_needless);
  void CancelPending();
  void Reset();
  void AnnounceAll();
  void Announce(size_t index);
  StageForecast ForecastOf(size_t index) const;
  void StartReady();
  void Start(size_t index);
  void TakeEvents();
  void FreeUnneeded();
  void FreeStage(size_t index);
  bool IsReady(size_t index) const;
  Duration CallTime(size_t index) const;
  TimePoint ExpiryOf(size_t index) const;
  bool HasTimeToRerun() const;
  Duration TimeAfter(size_t index) const;
  std::string NearDomainOf(size_t index) const;
  void AddBytes(size_t index, std::map<std::string, uint64_t>* bytes) const;
  /// Whether another stage of the request depends on it.
  bool HasDependents(size_t index) const;
  bool AllDone() const;

  const RelayJob* const job_;
  const FleetView* const view_;
  StageOwners* const owners_;
  const std::shared_ptr<Waker> waker_;
  std::vector<Stage> stages_;
  /// Stages of which a server may have got a piece, by index.
  std::vector<bool> was_sent_;
  /// Stages that were counted for the budgets on repeats, by index.
  std::vector<bool> was_counted_;
  std::shared_ptr<Events> events_;
  std::optional<StageOutcome::Result> failure_;
  bool not_run_ = true;
  bool is_late_ = false;
  bool has_run_ = false;
  std::string result_domain_;
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_RUNNER_H_
