#ifndef CITRONLANE_RELAY_STAGE_RUNNER_H_
#define CITRONLANE_RELAY_STAGE_RUNNER_H_

#include <cstdint>
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

/// Runs the stages of one request: each as soon as those before it are done,
/// all of its pieces on the inputs of this request only, and frees each result
/// once nothing can need it. Used by the request's handler.
class StageRunner {
 public:
  enum class Result { kDone, kLate, kFailed, kCallerGone };

  /// The pointers outlive the runner.
  StageRunner(const RelayJob* job,
              const FleetView* view,
              StageOwners* owners,
              std::shared_ptr<Waker> waker);
  /// Gives up what is under way and frees what is left.
  ~StageRunner();
  StageRunner(const StageRunner&) = delete;
  StageRunner& operator=(const StageRunner&) = delete;

  /// Whether the request has any stage to run.
  bool HasWork() const;

  /// Whether the pool of any of its stages is divided by failure domain.
  bool IsDivided() const;
  /// Tells the pools of all stages what will come, and learns what they expect;
  /// suspends the handler for a moment. Divided pools make it in
  /// `failure_domain`.
  void Announce(std::string failure_domain);
  /// A failure domain other than the announced one that has parts of the
  /// divided pools; empty when there is none. `random` says which.
  std::string OtherDomain(uint64_t random) const;
  /// Announces the request in another failure domain too and stays where it
  /// should be done sooner, which it returns; suspends the handler for a
  /// moment.
  std::string CompareWith(std::string failure_domain);

  /// How long it takes until the request's own answer begins, by what the pools
  /// said when it was announced: behind everything that waits there, or only
  /// behind what may meet its target.
  Duration ExpectedTime(bool behind_all) const;

  /// The request can't meet its target: its pieces come after those of requests
  /// that can.
  void SetLate();
  bool is_late() const { return is_late_; }

  /// Failure domain in which the request's own server will probably be.
  void SetResultDomain(std::string domain) {
    result_domain_ = std::move(domain);
  }

  /// Runs all stages; called again, it makes them anew. Suspends the handler.
  Result Run();

  /// Handles of the results that the request itself needs.
  std::vector<std::string> Inputs() const;
  /// Failure domain in which most of those results lie; empty for none.
  std::string InputDomain() const;
  /// Approximate size of those results.
  uint64_t InputBytes() const;
  /// Whether the engine will fetch so much that the way counts.
  bool HasHeavyResults() const;
  /// The request has its inputs: nothing needs the results any more.
  void FreeAll();

  /// No piece was ever handed to a server.
  bool not_run() const { return not_run_; }
  /// What went wrong, for the log.
  std::string_view failure() const;

 private:
  struct Stage {
    uint32_t pieces_ = 0;
    std::optional<uint64_t> job_;
    bool is_submitted_ = false;
    /// What its pool said when it was announced.
    std::optional<StageWait> wait_;
    bool is_done_ = false;
    /// What it works on was fetched by the servers that make it.
    bool has_inputs_ = false;
    bool is_freed_ = false;
    TimePoint done_at_;
    std::vector<std::string> handles_;
  };
  // What the hooks of jobs fill in; outlives the runner.
  struct Answers;

  Result RunOnce();
  void CancelOpen();
  void Reset();
  void AnnounceAll();
  void Announce(size_t index);
  StageForecast ForecastOf(size_t index) const;
  void StartReady();
  void Start(size_t index);
  void TakeAnswers();
  void FreeUsed();
  void FreeStage(size_t index);
  bool IsReady(size_t index) const;
  Duration CallTime(size_t index) const;
  TimePoint DroppedAt(size_t index) const;
  bool HasTimeToRemake() const;
  Duration TimeAfter(size_t index) const;
  std::string NearDomainOf(size_t index) const;
  void AddBytes(size_t index, std::map<std::string, uint64_t>* bytes) const;
  /// Whether another stage of the request follows.
  bool IsFollowed(size_t index) const;
  bool AllDone() const;

  const RelayJob* const job_;
  const FleetView* const view_;
  StageOwners* const owners_;
  const std::shared_ptr<Waker> waker_;
  std::vector<Stage> stages_;
  std::shared_ptr<Answers> answers_;
  std::optional<StageOutcome::Result> failure_;
  bool not_run_ = true;
  bool is_late_ = false;
  bool has_run_ = false;
  std::string result_domain_;
  std::string failure_domain_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_RUNNER_H_
