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

/// One accepted request: its stages in order, every attempt, its verdict and
/// its one final answer. Events come in, commands go out; the rules are in
/// docs/design/request.md. Pure. Not thread safe.
class Request {
 public:
  /// Precondition: the plan has at least one stage.
  Request(RequestPlan plan, RequestHooks hooks);

  /// Starts the first stage. Call once, before any event.
  void Start(TimePoint now);

  /// The call goes to this server.
  void OnPlaced(const AttemptId& attempt, std::string_view server);

  /// No server can take the call.
  void OnNoServer(const AttemptId& attempt, TimePoint now);

  /// The next thing done with the call's connection hands its first byte to
  /// the socket. Raises the verdict. Returns false when the attempt is closed:
  /// then nothing may be sent.
  [[nodiscard]] bool OnSending(const AttemptId& attempt);

  /// A whole reply came.
  void OnResult(StageResult result, TimePoint now);

  /// A token came on the attempt's stream. The stream's head has been checked
  /// with OnStreamHead.
  void OnToken(const AttemptId& attempt, const Token& token, TimePoint now);

  /// The head of a stream came. Returns whether it belongs to the open attempt;
  /// if not, the attempt has failed.
  bool OnStreamHead(const AttemptId& attempt,
                    std::string_view echoed_id,
                    TimePoint now);

  /// The call ended without a usable result.
  void OnFailure(const AttemptId& attempt, CallOutcome outcome, TimePoint now);

  /// The hedge delay of the attempt passed.
  void OnHedgeTime(const AttemptId& attempt, TimePoint now);

  /// The request's deadline passed.
  void OnDeadline();

  /// The caller is gone.
  void OnCallerGone();

  /// Returns the commands since the last call, oldest first.
  std::vector<RequestCommand> TakeCommands();

  /// Whether any stage may have run. Falls only when a server proved that the
  /// one attempt in flight did not run; what the request answers is final.
  Verdict verdict() const;

  bool finished() const { return finished_; }
  const std::string& id() const { return plan_.id_; }
  const RequestPlan& plan() const { return plan_; }
  uint32_t stage() const { return stage_; }
  const RequestCounters& counters() const { return counters_; }
  /// All that the stages gave so far.
  const StageOutput& output() const { return output_; }
  /// Text of the answer as far as it was emitted.
  const std::string& text() const { return assembly_.text(); }
  uint64_t tokens() const { return assembly_.next_offset(); }
  /// Calls of the stage of which a byte was sent.
  uint32_t sent_calls(uint32_t stage) const;
  /// Tokens taken from the stage.
  uint64_t stage_tokens(uint32_t stage) const;

 private:
  const StagePlan& Plan() const { return plan_.stages_[stage_]; }
  bool IsLastStage() const { return stage_ + 1 == plan_.stages_.size(); }
  Attempt* FindOpen(const AttemptId& id);
  /// Like FindOpen, but counts a result that comes too late.
  Attempt* FindOpenFor(const AttemptId& id);
  bool HasOpen() const;
  AttemptId IdOf(const Attempt& attempt, uint32_t number) const;
  uint32_t AttemptCount(uint32_t stage) const;
  std::vector<std::string> UsedServers() const;

  void StartStage(TimePoint now);
  void PushCall(CallMode mode, bool hedge, const Attempt* resumed);
  void CloseAttempt(Attempt* attempt, Verdict verdict);
  void CancelAttempt(Attempt* attempt);
  void CancelOthers(uint32_t winner);
  void FailAttempt(Attempt* attempt, CallOutcome outcome, TimePoint now);
  bool ProvenNotRun(const Attempt& attempt, CallOutcome outcome) const;
  void Recover(const Attempt& failed, CallOutcome outcome, TimePoint now);
  CallMode NextMode(const Attempt& failed, CallOutcome outcome) const;
  void CompleteStage(Attempt* attempt, StageOutput output, TimePoint now);
  void Merge(StageOutput output);
  void FinishFailed(RefusalReason reason);
  void Finish(bool whole, RefusalReason reason);

  const RequestPlan plan_;
  const RequestHooks hooks_;
  uint32_t stage_ = 0;
  bool finished_ = false;
  Verdict settled_ = Verdict::kNotRun;
  std::vector<Attempt> attempts_;
  StreamAssembly assembly_;
  StageOutput output_;
  RequestCounters counters_;
  std::vector<RequestCommand> commands_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_H_
