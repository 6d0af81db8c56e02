#ifndef CITRONLANE_RELAY_SERVICE_ROUTER_H_
#define CITRONLANE_RELAY_SERVICE_ROUTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/engine_output.h"
#include "citronlane/routing/engine_router.h"
#include "citronlane/routing/engine_run.h"
#include "citronlane/routing/pool_router.h"
#include "citronlane/serving/engine_spec.h"

namespace citronlane {

class FleetView;

/// Chooses servers of one service: model engines by the prompts that they hold,
/// other servers by their expected finish. Not thread safe.
class ServiceRouter {
 public:
  using RandomHook = PoolRouter::RandomHook;

  /// `reuse_window` is passed to EngineRouter; `failure_domain` is this
  /// gateway's.
  ServiceRouter(std::string service,
                bool has_engines,
                Duration reuse_window,
                const std::string& failure_domain,
                RandomHook random);
  ~ServiceRouter();

  /// Takes the servers of the view if they changed since the last call.
  void Update(const FleetView& view, TimePoint now);

  /// Id of a server that is not in `excluded`; nothing when there is none.
  std::optional<std::string> Choose(TimePoint now,
                                    const EngineRouter::Call& call,
                                    absl::Span<const std::string> excluded);
  /// Failure domain of the engine that the call would probably be sent to;
  /// empty for services without engines.
  std::string PreferredFailureDomain(TimePoint now,
                                     const EngineRouter::Call& call);
  /// See EngineRouter; these do nothing for other servers' prompts.
  void Expect(std::string_view server,
              TimePoint now,
              const EngineRouter::Call& call);
  EngineRun Begin(std::string_view server,
                  TimePoint now,
                  const EngineRouter::Call& call);
  void FirstEvent(EngineRun* run, TimePoint now, Duration after);
  /// `took`: time of the whole call.
  void End(const EngineRun& run,
           TimePoint now,
           CallOutcome outcome,
           Duration took,
           const EngineOutput& output);

  /// Set what engines have room for, and who is told what is learned.
  void SetEngine(const EngineSpec& spec) { engines_.SetSpec(spec); }
  void SetObserver(EngineRouter::Observer observer);
  const EngineRouter& engines() const { return engines_; }

 private:
  const std::string service_;
  const bool has_engines_;
  EngineRouter engines_;
  std::unique_ptr<PoolRouter> pool_;
  std::optional<uint64_t> servers_number_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_SERVICE_ROUTER_H_
