#ifndef CITRONLANE_ROUTING_ENGINE_ROUTER_H_
#define CITRONLANE_ROUTING_ENGINE_ROUTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/prompt_segment.h"

namespace citronlane {

/// Chooses the model engine for a prompt: the one that is expected to finish
/// its prefill (reading the prompt) first. Prompt segments in an engine's cache
/// need no prefill. A router that sees all requests of a service tracks which
/// engine holds which segment; one that sees only its own gateway's requests
/// assumes that a segment is held by its preferred engine, which all gateways
/// compute alike by rendezvous hashing. It neither makes calls nor tracks
/// latencies; see PoolRouter for pools. Time is passed in. Not thread safe.
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
  };

  /// A shared segment used by any engine within `reuse_window` is expected to
  /// be reused, so that its prefill at a second engine costs extra.
  explicit EngineRouter(Duration reuse_window) : reuse_window_(reuse_window) {}

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

  size_t servers() const { return engines_.size(); }

 private:
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
  };

  Engine* Find(std::string_view id);
  const Engine* PreferredEngine(absl::Span<const Engine* const> engines,
                                const Call& call) const;
  bool IsWarm(TimePoint now, const Call& call) const;
  /// Cost of the call at the engine in prompt tokens of waiting. `prefill`
  /// tokens are read; `penalty` is added.
  static double Cost(const Engine& engine,
                     double prefill,
                     double penalty,
                     const Call& call);

  const Duration reuse_window_;
  std::map<std::string, Engine, std::less<>> engines_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_ROUTER_H_
