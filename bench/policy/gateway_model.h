#ifndef CITRONLANE_BENCH_POLICY_GATEWAY_MODEL_H_
#define CITRONLANE_BENCH_POLICY_GATEWAY_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "citronlane/admission/admission_controller.h"
#include "citronlane/routing/stage_time.h"
#include "policy/backends.h"
#include "policy/deployment.h"
#include "policy/event_queue.h"
#include "policy/policy_options.h"
#include "policy/pool_policy.h"
#include "policy/request_run.h"
#include "policy/run_result.h"

namespace citronlane {

/// A gateway that applies the project's policies to simulated servers. All
/// pointers and references must outlive it. Not thread safe.
class GatewayModel {
 public:
  GatewayModel(std::string name,
               int domain,
               const Deployment& deployment,
               const PolicyOptions& options,
               uint64_t seed,
               EventQueue* queue,
               const Backends* backends,
               RunResult* result);

  /// Handles a caller's request, which is counted if `measured`.
  void Arrive(const RequestSpec& spec, bool measured);
  /// Ends the gateway with all of its requests.
  void Lose();

  /// Sets the interval in which engine time is counted.
  void SetWindow(TimePoint from, TimePoint to) {
    window_from_ = from;
    window_to_ = to;
  }

  bool alive() const { return alive_; }
  const std::string& name() const { return name_; }
  PoolRouter& router(const std::string& pool) {
    return pools_.at(pool)->router_;
  }
  /// Returns the number of this gateway's calls in flight at the server, which
  /// is reported to its peers.
  double InFlightAt(const std::string& server) const;

 private:
  using RunPtr = std::shared_ptr<RequestRun>;
  using AttemptPtr = std::shared_ptr<Attempt>;

  AdmissionQuery MakeQuery(const RequestSpec& spec) const;
  uint32_t PriorityOf(const RequestSpec& spec) const;
  CallShape ShapeOf(const RequestRun& run) const;
  PoolPolicy& PoolOf(const RequestRun& run);
  Duration Distance(const ServerModel& server) const;
  Duration TimeLeft(const RequestRun& run) const;
  Duration TargetLeft(const RequestRun& run) const;
  StageTime TimeOfStage(const RequestRun& run);

  /// Adds `calls` planned calls to the pools of the stages from `stage` on.
  void Plan(const RequestRun& run, size_t stage, int calls);
  void BeginStage(const RunPtr& run);
  AttemptPtr Launch(const RunPtr& run, bool hedge);
  void Submit(const RunPtr& run, const AttemptPtr& attempt);
  void SetTimers(const RunPtr& run, const AttemptPtr& attempt);
  void OnHedgeTimer(const RunPtr& run, const AttemptPtr& attempt);
  void OnShareTimer(const RunPtr& run, const AttemptPtr& attempt);
  void OnFirstByte(const RunPtr& run, const AttemptPtr& attempt);
  void OnFrozen(const RunPtr& run, const AttemptPtr& attempt);
  void OnReply(const RunPtr& run,
               const AttemptPtr& attempt,
               CallOutcome outcome);
  void OnStageDone(const RunPtr& run);
  void OnFailure(const RunPtr& run, CallOutcome outcome);
  bool TryAgain(const RunPtr& run, CallOutcome outcome);
  /// Records the end of a call, whatever its reply.
  void Close(const RunPtr& run, const AttemptPtr& attempt, CallOutcome outcome);
  void CancelOthers(const RunPtr& run, const AttemptPtr& kept);
  void Finish(const RunPtr& run, bool answered, const std::string& failure);
  template <typename Change>
  void Count(const RequestRun& run, const Change& change);

  const std::string name_;
  const int domain_;
  const Deployment& deployment_;
  const PolicyOptions options_;
  EventQueue* const queue_;
  const Backends* const backends_;
  RunResult* const result_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<PoolPolicy>> pools_;
  AdmissionController admission_;
  std::map<std::string, int> in_flight_;
  std::set<RunPtr> runs_;
  TimePoint window_from_{};
  TimePoint window_to_{};
  bool alive_ = true;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_GATEWAY_MODEL_H_
