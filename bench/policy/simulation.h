#ifndef CITRONLANE_BENCH_POLICY_SIMULATION_H_
#define CITRONLANE_BENCH_POLICY_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy/backends.h"
#include "policy/deployment.h"
#include "policy/event_queue.h"
#include "policy/gateway_model.h"
#include "policy/policy_options.h"
#include "policy/run_result.h"
#include "policy/scenario.h"

namespace citronlane {

/// Simulates a scenario with a policy: gateways, servers, faults, and the loads
/// that gateways report to each other. For a single use. Not thread safe.
class Simulation {
 public:
  Simulation(const Deployment& deployment,
             const Scenario& scenario,
             const PolicyOptions& options,
             uint64_t seed);

  RunResult Run();

 private:
  void MakeServers();
  void MakeGateways(const PolicyOptions& options, uint64_t seed);
  void ScheduleTraffic();
  void ScheduleFault(const Fault& fault);
  void RestartOneByOne(const Fault& fault);
  void Restart(ServerModel* server, const std::string& pool);
  void LoseDomain(const Fault& fault);
  std::vector<ServerModel*> Targets(const Fault& fault);
  void PublishLoads();
  void ExchangeLoads();
  void SendCacheEvent(const std::string& pool,
                      const std::string& server,
                      uint64_t sequence,
                      uint64_t prefix,
                      bool stored);
  template <typename Change>
  void OnAllRouters(const std::string& pool, const Change& change);

  const Deployment& deployment_;
  const Scenario scenario_;
  const bool peer_loads_;
  std::mt19937_64 random_;
  EventQueue queue_;
  RunResult result_;
  Backends backends_;
  std::vector<std::unique_ptr<GatewayModel>> gateways_;
  std::vector<RequestSpec> traffic_;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_SIMULATION_H_
