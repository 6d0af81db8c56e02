#ifndef CITRONLANE_REQUEST_REQUEST_H_
#define CITRONLANE_REQUEST_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/base/verdict.h"
#include "citronlane/request/attempt.h"
#include "citronlane/request/request_command.h"
#include "citronlane/request/request_counters.h"
#include "citronlane/request/request_hooks.h"
#include "citronlane/request/request_plan.h"
#include "citronlane/request/stage_output.h"
#include "citronlane/request/stage_result.h"
#include "citronlane/request/stream_assembly.h"
#include "citronlane/request/token.h"
#include "citronlane/routing/call_outcome.h"

namespace citronlane {

/// State machine of one admitted request: runs its stages in order, decides on
/// hedges, retries and resumed streams, and tracks every attempt, whether a
/// stage may have run (the verdict), and the single final outcome. It makes no
/// calls and has no timers: its driver reports events by the On... methods and
/// executes the commands of TakeCommands. Events about attempts that are closed
/// or unknown change nothing but counters. The rules are in
/// docs/design/request.md. Not thread safe.
class Request {
 public:
  /// Precondition: the plan has at least one stage.
  Request(RequestPlan plan, RequestHooks hooks);

  /// Starts the first stage. Must be called once, before any event.
  void Start(TimePoint now);

  /// The server was chosen for the call.
  void OnPlaced(const AttemptId& attempt, std::string_view server);

  /// No server can take the call. Ends the request unless another call of the
  /// stage is open.
  void OnNoServer(const AttemptId& attempt, TimePoint now);

  /// No server may get the request, since servers crashed while they ran it.
  /// Ends the request unless another call of the stage is open.
  void OnBlocked(const AttemptId& attempt);

  /// Must be called right before the first byte of the call is handed to the
  /// socket. Raises the verdict. Returns false when the attempt is closed: then
  /// nothing may be sent.
  [[nodiscard]] bool OnSending(const AttemptId& attempt);

  /// A complete reply arrived. Fails the attempt if the reply is of another
  /// attempt or the stage should have streamed.
  void OnResult(StageResult result, TimePoint now);

  /// A token arrived on the attempt's stream. Precondition: OnStreamHead
  /// returned true for the attempt.
  void OnToken(const AttemptId& attempt, const Token& token, TimePoint now);

  /// The head of a stream arrived, with `echoed_id` as its X-Attempt-Id.
  /// Returns whether it belongs to the open attempt; if not, the attempt has
  /// failed.
  bool OnStreamHead(const AttemptId& attempt,
                    std::string_view echoed_id,
                    TimePoint now);

  /// The call ended without a usable result. Retries it, or ends the request,
  /// unless another call of the stage is open.
  void OnFailure(const AttemptId& attempt, CallOutcome outcome, TimePoint now);

  /// The hedge delay of the attempt passed. Starts a second call if the stage
  /// may be repeated, no token has arrived, no other call is open, and the
  /// limits allow it.
  void OnHedgeTime(const AttemptId& attempt, TimePoint now);

  /// The request's deadline passed: ends the request.
  void OnDeadline();

  /// The caller closed its connection: ends the request.
  void OnCallerGone();

  /// Returns the commands since the last call, oldest first.
  std::vector<RequestCommand> TakeCommands();

  /// Whether any stage may have run. Falls only when a server proved that the
  /// one attempt in flight did not run. The verdict in FinishRequest is final.
  Verdict verdict() const;

  bool finished() const { return finished_; }
  const std::string& id() const { return plan_.id_; }
  const RequestPlan& plan() const { return plan_; }
  /// Index of the current stage, or of the one at which the request ended.
  uint32_t stage() const { return stage_; }
  const RequestCounters& counters() const { return counters_; }
  /// Merged outputs of the stages that are done.
  const StageOutput& output() const { return output_; }
  /// Text accepted from the current stage's stream.
  const std::string& text() const { return assembly_.text(); }
  /// Number of tokens in text().
  uint64_t tokens() const { return assembly_.next_offset(); }
  /// Calls of the stage of which a byte may have been sent.
  uint32_t sent_calls(uint32_t stage) const;
  /// Tokens accepted from all calls of the stage.
  uint64_t stage_tokens(uint32_t stage) const;

 private:
  const StagePlan& Plan() const { return plan_.stages_[stage_]; }
  bool IsLastStage() const { return stage_ + 1 == plan_.stages_.size(); }
  Attempt* FindOpen(const AttemptId& id);
  /// Like FindOpen, but counts a late result when there is none.
  Attempt* FindOpenOrCountLate(const AttemptId& id);
  bool HasOpen() const;
  AttemptId AttemptIdOf(const Attempt& attempt, uint32_t number) const;
  uint32_t AttemptCount(uint32_t stage) const;
  std::vector<std::string> UsedServers() const;

  /// Closes an attempt that no server got, and ends the request for `reason`
  /// unless another call of the stage is open.
  void EndUnplaced(const AttemptId& attempt, RefusalReason reason);
  void StartStage(TimePoint now);
  /// `resumed` is the attempt to resume for kResume, else unused.
  void PushCall(CallMode mode, bool hedge, const Attempt* resumed);
  void CloseAttempt(Attempt* attempt, Verdict verdict);
  void CancelAttempt(Attempt* attempt);
  void CancelOthers(uint32_t winner);
  void FailAttempt(Attempt* attempt, CallOutcome outcome, TimePoint now);
  bool ProvenNotRun(const Attempt& attempt, CallOutcome outcome) const;
  /// Retries the stage after its last open call failed, or ends the request.
  void RetryOrFinish(const Attempt& failed, CallOutcome outcome, TimePoint now);
  CallMode NextMode(const Attempt& failed, CallOutcome outcome) const;
  void CompleteStage(Attempt* attempt, StageOutput output, TimePoint now);
  void Merge(StageOutput output);
  void FinishFailed(RefusalReason reason);
  void Finish(bool complete, RefusalReason reason);

  const RequestPlan plan_;
  const RequestHooks hooks_;
  uint32_t stage_ = 0;
  bool finished_ = false;
  /// Verdict over the closed attempts.
  Verdict closed_verdict_ = Verdict::kNotRun;
  std::vector<Attempt> attempts_;
  StreamAssembly assembly_;
  StageOutput output_;
  RequestCounters counters_;
  std::vector<RequestCommand> commands_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_H_
