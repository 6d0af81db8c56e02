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
/// Requests that share a prompt part have a home engine that all gateways agree
/// on without a word. Pure. Not thread safe.
class EngineRouter {
 public:
  /// What a request brings.
  struct Call {
    absl::Span<const PromptPart> prompt_;
    /// Failure domain that holds what the request needs; empty for none.
    std::string_view near_;
    /// Bytes that the engine would fetch from there.
    uint64_t input_bytes_ = 0;
  };

  /// Takes the service's servers; what was learned of those that stay is kept.
  void Update(absl::Span<const BackendServer* const> servers);

  /// Chooses a server that is not in `excluded`; nothing when there is none.
  std::optional<std::string> Choose(TimePoint now,
                                    const Call& call,
                                    absl::Span<const std::string> excluded);

  /// Failure domain of the engine that the call would probably go to; empty
  /// when there is none.
  std::string HomeDomain(TimePoint now, const Call& call);

  /// Every OnStart is followed by one OnFinish; OnFirstEvent may come between.
  void OnStart(std::string_view server, TimePoint now, const Call& call);
  void OnFirstEvent(std::string_view server, const Call& call);
  /// `had_first_event`: whether OnFirstEvent was called.
  void OnFinish(std::string_view server,
                TimePoint now,
                CallOutcome outcome,
                bool had_first_event,
                const Call& call);

  size_t servers() const { return engines_.size(); }

 private:
  struct Engine {
    std::string id_;
    std::string failure_domain_;
    bool leaving_ = false;
    /// Requests of this gateway that run there, and tokens of prompts that it
    /// sent and whose first event has not come.
    double running_ = 0;
    double reading_tokens_ = 0;
    int failures_in_row_ = 0;
    TimePoint suspended_until_;
  };

  Engine* Find(std::string_view id);
  double Cost(const Engine& engine, bool is_home, const Call& call) const;

  std::map<std::string, Engine, std::less<>> engines_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_ROUTER_H_
