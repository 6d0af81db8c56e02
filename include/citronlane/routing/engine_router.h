#ifndef CITRONLANE_ROUTING_ENGINE_ROUTER_H_
#define CITRONLANE_ROUTING_ENGINE_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/engine_output.h"
#include "citronlane/routing/engine_run.h"
#include "citronlane/routing/engine_speed.h"
#include "citronlane/routing/pool_pace.h"
#include "citronlane/routing/request_cost_model.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/engine_spec.h"
#include "citronlane/serving/prompt_segment.h"

namespace citronlane {

/// Chooses the model engine for a prompt: the one that is expected to finish
/// its prefill (reading the prompt) first. Prompt segments in an engine's cache
/// need no prefill. A router that sees all requests of a service tracks which
/// engine holds which segment; one that sees only its own gateway's requests
/// assumes that a segment is held by its preferred engine, which all gateways
/// compute alike by rendezvous hashing.
///
/// A router that sees all requests also learns what requests cost and which
/// engines are lastingly slower or faster than their pool, and then weighs
/// their work by it. While it has learned nothing, all engines and requests
/// count alike. It makes no calls; see PoolRouter for other servers. Time is
/// passed in. Not thread safe.
class EngineRouter {
 public:
  /// Properties of a request that the choice depends on. Borrows its data for
  /// the duration of a call of this class.
  struct Call {
    /// Segments in order; all but the last may be shared with other requests.
    absl::Span<const PromptSegment> prompt_;
    /// Failure domain that holds the request's inputs; empty for none.
    std::string_view near_;
    /// Bytes that the engine would fetch from `near_`.
    uint64_t input_bytes_ = 0;
    /// This router is notified of every request of the service, or of all in
    /// `required_domain_`.
    bool sees_all_requests_ = false;
    /// The engine must be in this failure domain; empty for any.
    std::string_view required_domain_;
    std::string_view route_;
    std::string_view account_;
    /// As the caller declares them; 0 when it does not.
    uint32_t prompt_tokens_ = 0;
    uint32_t max_output_tokens_ = 0;
    uint32_t expected_output_tokens_ = 0;
    uint32_t priority_ = 0;
    /// Until its first event is due.
    Duration target_left_{};
  };

  /// What the router has learned, for logs and metrics.
  struct Observer {
    /// The time factors of a server that now count, see EngineSpeed, differ
    /// much from those of the last call.
    std::function<
        void(const std::string& server, double prefill, double decode)>
        speed_changed_;
    /// A first event came.
    std::function<void(Duration expected, Duration seen)> first_event_;
  };

  /// How time factors are spread over the engines.
  struct SpeedSpread {
    double least_ = 1;
    double median_ = 1;
    double most_ = 1;
  };

  /// A shared segment used by any engine within `reuse_window` is expected to
  /// be reused, so that its prefill at a second engine costs extra.
  explicit EngineRouter(Duration reuse_window) : reuse_window_(reuse_window) {}

  /// Sets what each engine has room for; without it, room is not counted.
  void SetSpec(const EngineSpec& spec) { spec_ = spec; }

  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  /// Applies the service's server list. Servers that stay keep their state.
  void Update(absl::Span<const BackendServer* const> servers);

  /// Returns the id of the cheapest server that is neither in `excluded` nor
  /// draining; one suspended after failures only when no other is left. Nullopt
  /// when there is none.
  std::optional<std::string> Choose(TimePoint now,
                                    const Call& call,
                                    absl::Span<const std::string> excluded);

  /// Failure domain of the engine that Choose would return now; empty when
  /// there is none.
  std::string PreferredFailureDomain(TimePoint now, const Call& call);

  /// Records that the server will hold the call's shared segment, because a
  /// request with it will be sent there. Unknown servers are ignored, here and
  /// below.
  void Expect(std::string_view server, TimePoint now, const Call& call);
  /// A request starts at the server. Every OnStart is followed by one OnFinish;
  /// OnFirstEvent may come between. Returns the prompt tokens that the engine
  /// has to prefill for the call.
  double OnStart(std::string_view server, TimePoint now, const Call& call);
  /// The request's first event shows that its prefill is done. `tokens`: what
  /// OnStart returned.
  void OnFirstEvent(std::string_view server, double tokens);
  /// End of a request. `unread`: what OnStart returned, or 0 after
  /// OnFirstEvent. A failure suspends the server for a while.
  void OnFinish(std::string_view server,
                TimePoint now,
                CallOutcome outcome,
                double unread);

  /// As OnStart, and counts what the request is expected to cost. The run is
  /// passed to FirstEvent() and End(), which replace OnFirstEvent() and
  /// OnFinish() for it.
  EngineRun Begin(std::string_view server, TimePoint now, const Call& call);
  /// `after`: time from the call to the event; 0 when it is not known.
  void FirstEvent(EngineRun* run, TimePoint now, Duration after);
  void End(const EngineRun& run,
           TimePoint now,
           CallOutcome outcome,
           const EngineOutput& output);

  size_t servers() const { return engines_.size(); }
  /// Time factors of prefill, in decode where that is not known.
  SpeedSpread Speeds(TimePoint now) const;

 private:
  /// Cost of each running request for the next prompt, in prompt tokens: it
  /// lengthens each engine step.
  static constexpr double kTokensPerRunningRequest = 40;

  struct SegmentUse {
    int requests_ = 0;
    double tokens_ = 0;
  };
  struct Engine {
    std::string id_;
    std::string failure_domain_;
    bool leaving_ = false;
    /// Requests in flight, and prompt tokens to prefill for those without a
    /// first event yet, as far as this router was notified.
    double running_ = 0;
    double pending_prefill_tokens_ = 0;
    int consecutive_failures_ = 0;
    TimePoint suspended_until_;
    /// Last use of the shared segments in its cache, by segment id.
    std::map<std::string, TimePoint, std::less<>> segment_last_use_;
    /// Output of the running requests, and the tokens of memory that they need
    /// at their ends.
    double output_ = 0;
    double memory_ = 0;
    /// Shared segments that requests in flight use.
    std::map<std::string, SegmentUse, std::less<>> segment_uses_;
    /// When it last ended the prefill of a request, and prompt tokens read up
    /// to then.
    TimePoint last_read_;
    double read_tokens_ = 0;
    EngineSpeed prefill_speed_;
    EngineSpeed decode_speed_;
    /// Of the last call of the observer.
    double told_prefill_ = 1;
    double told_decode_ = 1;
  };
  /// Multiples of the pool's time that prefill and decode take at an engine.
  struct TimeFactors {
    double prefill_ = 1;
    double decode_ = 1;
  };
  /// Memory that a call needs, in tokens.
  struct Need {
    /// Of the shared segments, which requests at an engine hold together.
    double shared_ = 0;
    /// Of the rest, and of nine in ten such requests.
    double own_ = 0;
    double own_upper_ = 0;
    double output_ = 0;
  };

  using Holders = std::set<const Engine*>;

  Engine* Find(std::string_view id);
  const Engine* PreferredEngine(absl::Span<const Engine* const> engines,
                                const Call& call) const;
  bool IsWarm(TimePoint now, const Call& call) const;
  /// Engines that hold the segment; null if there are none.
  const Holders* HoldersOf(std::string_view segment) const;
  /// Cost of the call at the engine in prompt tokens of waiting, at the pool's
  /// speed. `prefill` tokens are read; `penalty` is added.
  static double Cost(const Engine& engine,
                     const TimeFactors& factors,
                     double prefill,
                     double penalty,
                     const Call& call);

  // engine_router_load.cc: what is learned and expected.
  static TimeFactors FactorsOf(const Engine& engine, TimePoint now);
  Need NeedOf(TimePoint now, const Call& call);
  /// Time until the engine has room for the call, in prompt tokens at the
  /// pool's speed: before that it would preempt others.
  double RoomWait(const Engine& engine,
                  const TimeFactors& factors,
                  const Need& need,
                  const Call& call) const;
  /// Whether all requests at the engine can run at the same time.
  bool HasRoom(const Engine& engine) const;
  /// Adds the run to what the engine has to do, and takes it out.
  void AddRun(Engine* engine, const Need& need, EngineRun* run);
  static void RemoveRun(Engine* engine, const EngineRun& run);
  /// Learn from a first event `after` the call, and from a whole run.
  void LearnPrefill(Engine* engine,
                    TimePoint now,
                    const EngineRun& run,
                    Duration after);
  void LearnOutput(Engine* engine,
                   TimePoint now,
                   const EngineRun& run,
                   const EngineOutput& output);
  void NoteSpeed(Engine* engine, TimePoint now);

  const Duration reuse_window_;
  std::optional<EngineSpec> spec_;
  Observer observer_;
  RequestCostModel costs_;
  /// Time of a request's own prefill by its prompt tokens, and of a unit of
  /// output by the prompt tokens that the engine reads meanwhile. Both count
  /// tokens for the requests that run beside it.
  PoolPace prefill_pace_;
  PoolPace decode_pace_;
  std::map<std::string, Engine, std::less<>> engines_;
  /// By shared segment, as in the engines' segment_last_use_.
  std::map<std::string, Holders, std::less<>> holders_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_ROUTER_H_
