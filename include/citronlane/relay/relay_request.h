#ifndef CITRONLANE_RELAY_RELAY_REQUEST_H_
#define CITRONLANE_RELAY_RELAY_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/base/verdict.h"
#include "citronlane/relay/crash_watch.h"
#include "citronlane/relay/origin_watch.h"
#include "citronlane/relay/placed_engine.h"
#include "citronlane/relay/relay_job.h"
#include "citronlane/relay/silent_attempt.h"
#include "citronlane/relay/stage_runner.h"
#include "citronlane/routing/engine_router.h"
#include "citronlane/routing/engine_run.h"
#include "citronlane/routing/request_sends.h"
#include "citronlane/routing/server_limits.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/event_splitter.h"
#include "citronlane/serving/request_fingerprint.h"
#include "citronlane/serving/stream_origin.h"
#include "citronlane/transport/held_reply.h"

namespace citronlane {

class HttpExchange;
class RepeatBudget;
class ServerAttempt;
class ServiceRouter;
class Waker;
struct HttpReply;
struct HttpRequest;
struct RelayContext;

/// Serves one request: runs its stages, calls a backend server, retries where
/// the route's kind allows it, and responds to the caller exactly once. It
/// neither admits requests nor finds their routes; see RelayService. Used
/// by the handler of its connection only.
class RelayRequest {
 public:
  /// All must outlive the object.
  RelayRequest(const RelayContext* context,
               const RelayJob* job,
               const HttpRequest* request,
               HttpExchange* exchange);
  ~RelayRequest();
  RelayRequest(const RelayRequest&) = delete;
  RelayRequest& operator=(const RelayRequest&) = delete;

  /// Returns once the caller has its response or is gone. Suspends the handler.
  void Run();

  /// The process ends soon: makes Run() send a final response now. `job` must
  /// be the request's own.
  void GiveUp(RelayJob* job);

 private:
  /// How an attempt ended.
  enum class Step {
    /// The response was sent, or none can be sent any more.
    kAnswered,
    /// No server ran it: another one may be tried.
    kNotRun,
    /// The server may have run it.
    kMayHaveRun,
    /// The server has lost the results of the stages: they must be made again.
    kInputsGone,
    /// The server runs it, as far as is known, and has sent nothing for a
    /// while.
    kSilent,
    /// The server that was silent went on before this one replied.
    kSilentWentOn,
  };
  /// Reason of an attempt that was not sent because no repeat was left for it.
  static constexpr std::string_view kNoRepeatLeft = "no repeat left";
  struct AttemptResult {
    Step step_ = Step::kAnswered;
    /// For the log and the metrics.
    std::string_view reason_;
  };

  /// Serves the request by this gateway's own calls. Suspends the handler.
  void Serve();
  bool CanFinishInTime();
  /// Whether the expected time of the announced stages meets the target.
  bool MeetsTarget() const;
  void TryOtherDomain();
  bool RunStages();
  void RunAttempts();
  /// Calls the next server. Returns nothing when the request has ended before
  /// that. Suspends the handler.
  std::optional<AttemptResult> RunNextAttempt();
  /// Chooses a server; null when there is none. Suspends the handler.
  const BackendServer* Choose();
  /// As Choose(); while brittle servers have no room, waits for it for a while.
  const BackendServer* ChooseWithRoom();
  bool IsServiceBrittle() const;
  /// Until when a request waits for room at brittle servers.
  TimePoint RoomDeadline() const;
  /// Chooses by this gateway's own estimates.
  std::optional<std::string> ChooseHere();
  /// Whether this gateway, as the placement owner, may send the request to the
  /// engine for which it has reserved a slot.
  bool MayUseReserved() const;
  /// A plain server whose limit nobody would otherwise observe; empty if there
  /// is none.
  std::optional<std::string> ChooseUnobserved(
      absl::Span<const std::string> excluded);
  /// How this gateway shares the limits of the service's servers.
  ServerLimits::Scope LimitScope() const;
  /// Servers that may not get this request now: those tried, those of another
  /// version than the one that began its stream, those in backoff, and those
  /// that have no capacity left within their limits.
  std::vector<std::string> Excluded();
  // relay_request_versions.cc: which servers may continue a stream.
  /// Whether the server may run the request, as far as its version matters.
  bool MayContinue(const BackendServer& server) const;
  /// Whether the server may get the request now: it takes new work, may run
  /// this request, and is not in backoff.
  bool MayCall(const BackendServer& server) const;
  /// Servers that were tried, and those for which MayCall() returns false.
  std::vector<std::string> Unusable() const;
  /// Whether a server that takes requests is of the version that began the
  /// stream.
  bool HasServerOfOrigin() const;
  /// Remembers what begins the stream that the caller is about to get.
  void NoteOrigin();
  /// Whether the caller has a part of the stream from an earlier attempt.
  bool TakesUpStream() const;
  /// Finds out what began the stream that the caller takes up. Refuses the
  /// request if that is not known, or if nobody may continue it; returns
  /// whether it is known. Suspends the handler.
  bool FindOrigin();
  /// What control knows of the stream; nothing when it does not reply in time.
  /// Suspends the handler.
  std::optional<OriginWatch::Answer> AskOrigin();
  /// The origin, if only one version of one service can have begun the stream.
  std::optional<StreamOrigin> OnlyPossibleOrigin(
      const std::optional<OriginWatch::Answer>& answer) const;
  /// The route's service; empty when it has several.
  std::string OnlyService() const;
  bool IsOnRoute(std::string_view service) const;
  /// Whether the server that has begun to reply is still in the incarnation
  /// that the list showed, so that its listed version is its own. Suspends the
  /// handler.
  bool IsListedIncarnation();
  /// Start time by the last server's own report; 0 when the report names none,
  /// nothing when there is no report. Suspends the handler.
  std::optional<int64_t> ReportedStart();
  std::string PlannedDomain();
  std::string PreferredPromptDomain();
  std::string EngineDomain();
  void NoteStart(const std::string& server);
  void NoteFirstEvent();
  /// Output of the last call after its first event.
  EngineOutput Output() const;
  /// `is_full_refusal`: a rejection was for want of room.
  void NoteEnd(const std::string& server,
               CallOutcome outcome,
               bool is_full_refusal,
               Duration took);
  AttemptResult RunAttempt(const BackendServer& server);
  AttemptResult Relay(ServerAttempt* attempt);
  /// Relays a reply whose head has arrived.
  AttemptResult RelayReply(ServerAttempt* attempt);
  AttemptResult RelayBuffered(ServerAttempt* attempt);
  /// Reads a reply's body, as far as there is memory for it: a larger one is
  /// rejected. Returns false if the call was rejected, has not ended in time or
  /// the caller is gone. Suspends the handler.
  bool ReadWhole(ServerAttempt* attempt,
                 TimePoint until,
                 HeldReply* held,
                 std::string* body);
  AttemptResult RelayStream(ServerAttempt* attempt);
  /// The head of the response to the caller for a server's reply.
  HttpReply ResponseTo(const ServerAttempt& attempt) const;
  void FreeInputs();
  bool ForwardEvents(const std::string& events, const ServerAttempt& attempt);
  AttemptResult AfterFailure(const ServerAttempt& attempt) const;
  /// Refuses the request if servers may not get it; returns whether it did.
  /// `is_call`: it is about to be sent to one.
  bool RefuseIfBlocked(bool is_call);
  /// While the request's content is suspended, waits a short time for its turn.
  /// Returns whether the request may be sent. Suspends the handler.
  bool AwaitTrial(bool is_call);
  /// Lets another request of this gateway be the trial, since the server of
  /// this one has not got it.
  void ReturnTrial();
  /// If all servers of the service have limits, takes a slot for a request with
  /// stages before these run. Refuses the request if no slot is left, so that
  /// its stages do not run in vain; returns whether it did. Suspends the
  /// handler.
  bool RefuseIfLimited();
  bool AreAllServersLimited() const;
  /// If all servers that could run the request are in backoff: refuses it, and
  /// returns whether it did.
  bool RefuseIfInBackoff();
  /// The shortest backoff of the servers that could run the request; nothing if
  /// one of them is in none, or if there are no servers.
  std::optional<Duration> ShortestBackoff() const;
  /// Reports that the last server has begun to reply and runs on.
  void NoteReplyBegun();
  /// Reports whether the call's server crashed or survived.
  void NoteSurvival(const CalledServer& called, const ServerAttempt& attempt);
  /// Whether another attempt may follow one that ended with `ended`. Keeps a
  /// repeat for it.
  bool MayRetry(const AttemptResult& ended);
  /// Counts how an attempt ended; returns whether its route and the deadline
  /// allow another one.
  bool IsRetryable(const AttemptResult& ended);
  void LogRetry(const AttemptResult& ended, bool goes_on);
  std::optional<Duration> StallLimit() const;
  Duration FirstReplyLimit() const;

  std::string_view ServiceName() const;
  EngineRouter::Call RouterCall() const;
  uint32_t Urgency() const;
  // relay_request_silence.cc: servers that fall silent and may go on.
  /// Whether another server may be called while the present one is silent.
  bool MayCallBesideSilent() const;
  bool HasSilentGoneOn() const;
  /// Leaves the silent server if no good reply of it can follow.
  void DropLostSilent();
  /// Ends the call of the silent server, if there is one.
  void DropSilent();
  /// Waits until `other`, called beside the silent server, has replied or
  /// failed, or only one of the two is left. Suspends the handler.
  void AwaitBesideSilent(const ServerAttempt& other);
  /// Goes on with the call of the silent server, which must be kept. Suspends
  /// the handler.
  AttemptResult ResumeSilent();
  /// Before the request ends without a whole response: waits for the silent
  /// server, if there is one. Returns whether that has ended the request.
  /// Suspends the handler.
  bool EndsWithSilent();
  // relay_request_peers.cc: what other gateways do for this one.
  enum class PeerResult {
    /// The gateway did nothing for the request: another one may be tried.
    kNotTaken,
    /// The response was passed on, or the caller is gone.
    kEnded,
    /// The gateway may have had the request run, and its reply is lost.
    kLost,
  };
  static std::string_view NameOf(PeerResult result);
  /// Whether another gateway should serve the request, because this one reaches
  /// no server or may call none, and none has got the request.
  bool ShouldForward() const;
  /// Whether brittle servers have no place for calls of this gateway.
  bool LacksPlace() const;
  /// Addresses of gateways that may call no server, if that is why the request
  /// is forwarded.
  std::vector<std::string> PeersWithoutPlace() const;
  /// Forwards the request to other gateways, one after the other. Returns
  /// whether it has ended; if not, none of them has had anything of it run.
  /// Suspends the handler.
  bool TryPeers();
  PeerResult AskPeer(const std::string& address);
  PeerResult AfterSilence(const ServerAttempt& attempt);
  /// The head of the response to the caller for another gateway's reply.
  HttpReply ResponseOfPeer(const ServerAttempt& attempt);
  PeerResult PassReply(ServerAttempt* attempt, TimePoint reply_by);
  PeerResult PassStream(ServerAttempt* attempt, TimePoint reply_by);
  void EndAsLost();

  /// `retry_after`: when the caller should come back, if that is known.
  void Refuse(RefusalReason reason,
              std::optional<Duration> retry_after = std::nullopt);
  void RefuseForLimits();
  /// Refuses because no server can be chosen.
  void RefuseWithoutServer();
  void RefuseAfterFailure();
  void Finish(std::string_view outcome, int status);
  Duration Elapsed() const;
  CrashWatch::FingerprintHook FingerprintHook();
  const RequestFingerprint& Fingerprint();
  /// Ids of the prompt's segments, each once, without the last one, which no
  /// other request has.
  static std::vector<std::string> SharedSegments(
      absl::Span<const PromptSegment> prompt);

  const RelayContext* const context_;
  const RelayJob* const job_;
  const HttpRequest* const request_;
  HttpExchange* const exchange_;
  const std::shared_ptr<Waker> waker_;
  StageRunner stages_;
  PlacedEngine engine_;
  const Service* service_ = nullptr;
  ServiceRouter* router_ = nullptr;
  RepeatBudget* budget_ = nullptr;
  /// Counts and pays for the request's calls to servers of the service.
  std::optional<RequestSends> sends_;
  EventSplitter events_;
  /// Memory of the event that is not complete yet, also while its server is
  /// silent.
  std::optional<HeldReply> held_event_;
  /// The call that was left because its server was silent.
  std::optional<SilentAttempt> silent_;
  /// Nothing is left to try but the silent server.
  bool awaits_silent_ = false;
  std::vector<std::string> tried_;
  /// The last call, as the router counts it.
  EngineRun run_;
  /// Nothing when the call was left and is resumed.
  std::optional<TimePoint> run_began_;
  /// Events of the stream up to the last call's first one.
  uint64_t events_at_first_ = 0;
  TimePoint last_event_at_;
  std::string near_domain_;
  /// Failure domain in which divided pools run its stages; empty when no pool
  /// is divided.
  std::string stage_domain_;
  Verdict verdict_ = Verdict::kNotRun;
  /// Servers that may have run it, and calls that servers refused.
  uint32_t runs_ = 0;
  uint32_t refusals_ = 0;
  bool has_called_ = false;
  /// The placement owner chose the last server and counted the call.
  bool is_counted_by_owner_ = false;
  /// Engine for which a slot was taken at arrival; empty if none was, or once
  /// it is used.
  std::string reserved_engine_;
  /// The last server is the reserved engine.
  bool is_call_reserved_ = false;
  /// Servers were left out of the last choice because of their limits.
  bool limits_excluded_ = false;
  /// Time waited for room at brittle servers.
  Duration room_wait_{};
  uint32_t stage_reruns_ = 0;
  /// No other gateway took it.
  bool is_forwarding_over_ = false;
  bool stream_started_ = false;
  /// What began the stream that the caller has a part of; nothing while any
  /// server may begin it.
  std::optional<StreamOrigin> origin_;
  bool had_first_event_ = false;
  TimePoint first_event_at_;
  bool inputs_freed_ = false;
  bool finished_ = false;
  Duration expected_{};
  Duration stages_time_{};
  Duration first_event_time_{};
  std::optional<RequestFingerprint> fingerprint_;
  const std::vector<std::string> segments_;
  /// The last server's reply was reported as begun.
  bool is_reply_reported_ = false;
  bool is_survival_reported_ = false;
  /// The next call is the trial of a suspended content.
  bool is_trial_ = false;
  std::string_view last_failure_ = "";
  std::string last_server_;
  /// The last server as it was listed when it was called.
  BackendServer called_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_REQUEST_H_
