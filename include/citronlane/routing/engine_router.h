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
#include "citronlane/serving/prompt_part.h"

namespace citronlane {

/// Chooses the model engine for a prompt: the one that is expected to have read
/// it first, where parts of the prompt that an engine keeps need not be read.
/// One that sees all requests of a service knows which engine keeps what; one
/// that sees only its own goes by a home engine for each prompt part, which all
/// gateways agree on without a word. Pure. Not thread safe.
class EngineRouter {
 public:
  /// What a request brings.
  struct Call {
    absl::Span<const PromptPart> prompt_;
    /// Failure domain that holds what the request needs; empty for none.
    std::string_view near_;
    /// Bytes that the engine would fetch from there.
    uint64_t input_bytes_ = 0;
    /// This router is told of every request of the service, or of those in
    /// the failure domain below.
    bool sees_all_ = false;
    /// Only engines of this failure domain; empty for all.
    std::string_view only_in_;
  };

  /// Reading a shared part again within `reuse_window` of its last use has a
  /// price beyond the time that it takes.
  explicit EngineRouter(Duration reuse_window) : reuse_window_(reuse_window) {}

  /// Takes the service's servers; what was learned of those that stay is kept.
  void Update(absl::Span<const BackendServer* const> servers);

  /// Chooses a server that is not in `excluded`; nothing when there is none.
  std::optional<std::string> Choose(TimePoint now,
                                    const Call& call,
                                    absl::Span<const std::string> excluded);

  /// Failure domain of the engine that the call would probably go to; empty
  /// when there is none.
  std::string HomeDomain(TimePoint now, const Call& call);

  /// A request like it will come to this server.
  void Expect(std::string_view server, TimePoint now, const Call& call);
  /// Every OnStart is followed by one OnFinish; OnFirstEvent may come between.
  /// Returns the prompt tokens that the engine has to read for the call.
  double OnStart(std::string_view server, TimePoint now, const Call& call);
  void OnFirstEvent(std::string_view server, double tokens);
  /// `unread`: what OnStart returned, or 0 after OnFirstEvent.
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
    /// Requests that run there, and tokens that it has to read for those whose
    /// first event has not come, as far as this router was told.
    double running_ = 0;
    double reading_tokens_ = 0;
    int failures_in_row_ = 0;
    TimePoint suspended_until_;
    /// Last use of shared parts that it keeps, by their id.
    std::map<std::string, TimePoint, std::less<>> kept_;
  };

  Engine* Find(std::string_view id);
  const Engine* HomeOf(absl::Span<const Engine* const> engines,
                       const Call& call) const;
  bool IsWarm(TimePoint now, const Call& call) const;
  static double Cost(const Engine& engine,
                     double reads,
                     double again,
                     const Call& call);

  const Duration reuse_window_;
  std::map<std::string, Engine, std::less<>> engines_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_ROUTER_H_
