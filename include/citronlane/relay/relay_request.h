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
#include "citronlane/relay/placed_engine.h"
#include "citronlane/relay/relay_job.h"
#include "citronlane/relay/stage_runner.h"
#include "citronlane/routing/engine_router.h"
#include "citronlane/serving/event_splitter.h"

namespace citronlane {

class HttpExchange;
class RepeatBudget;
class ServerAttempt;
class ServiceRouter;
class Waker;
struct BackendServer;
struct HttpRequest;
struct RelayContext;

/// Serves one request: runs its stages, calls a backend server, repeats where
/// the route's kind allows it, and answers the caller exactly once. Lives in
/// the handler of its connection.
class RelayRequest {
 public:
  /// All outlive the object.
  RelayRequest(const RelayContext* context,
               const RelayJob* job,
               const HttpRequest* request,
               HttpExchange* exchange);
  ~RelayRequest();
  RelayRequest(const RelayRequest&) = delete;
  RelayRequest& operator=(const RelayRequest&) = delete;

  /// Returns once the caller has its answer or is gone.
  void Run();

  /// The process ends soon: gives the caller a final answer now. `job` is the
  /// request's own.
  void GiveUp(RelayJob* job);

 private:
  /// How one attempt ended.
  enum class Step {
    /// The caller has its answer, or nothing can be answered any more.
    kAnswered,
    /// Nothing reached a server that ran it: another one may be tried.
    kNotRun,
    /// The server may have run it.
    kMayHaveRun,
    /// The server has lost the results of the stages: they must be made anew.
    kInputsGone,
  };
  struct Ended {
    Step step_ = Step::kAnswered;
    /// For the log.
    std::string_view why_;
  };

  bool MayBeInTime();
  /// By what the pools said when its stages were announced.
  bool MeetsTarget() const;
  void TryOtherDomain();
  bool RunStages();
  void RunAttempts();
  /// Chooses a server; null when there is none.
  const BackendServer* Choose();
  std::string PlannedDomain();
  std::string PromptHome();
  std::string EngineDomain();
  void NoteStart(const std::string& server);
  void NoteFirstEvent();
  void NoteEnd(const std::string& server, CallOutcome outcome, Duration took);
  Ended RunAttempt(const BackendServer& server);
  Ended Relay(ServerAttempt* attempt);
  Ended RelayWhole(ServerAttempt* attempt);
  Ended RelayStream(ServerAttempt* attempt);
  void FreeInputs();
  bool PassOn(const std::string& events, const ServerAttempt& attempt);
  Ended AfterFailure(const ServerAttempt& attempt) const;
  /// Whether, after an attempt that ended so, another one may be made.
  bool MayGoOn(const Ended& ended);
  std::optional<Duration> StallLimit() const;
  Duration FirstReplyLimit() const;

  std::string_view ServiceName() const;
  EngineRouter::Call RouterCall() const;
  uint32_t Urgency() const;
  void Refuse(RefusalReason reason);
  void RefuseAfterFailure();
  void Finish(std::string_view outcome, int status);
  Duration Elapsed() const;

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
  EventSplitter events_;
  std::vector<std::string> tried_;
  /// Tokens that the engine has still to read for it.
  double unread_ = 0;
  std::string near_domain_;
  /// Where divided pools make its stages; empty while none is.
  std::string home_domain_;
  Verdict verdict_ = Verdict::kNotRun;
  /// Servers that may have run it, and calls that were refused.
  uint32_t runs_ = 0;
  uint32_t refusals_ = 0;
  bool has_called_ = false;
  uint32_t remakes_ = 0;
  bool stream_started_ = false;
  bool had_first_event_ = false;
  bool inputs_freed_ = false;
  bool finished_ = false;
  Duration expected_{};
  Duration stages_took_{};
  Duration first_event_after_{};
  std::string_view last_failure_ = "";
  std::string last_server_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_REQUEST_H_
