#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_CALLS_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_CALLS_H_

#include <functional>
#include <string>
#include <string_view>

#include "citronlane/control/control_options.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/control/detail/crash_register.h"
#include "citronlane/control/replica_status.h"
#include "citronlane/transport/control_service_hooks.h"

namespace citronlane {

/// Serves the gateways' calls: the leader turns them into commands, other nodes
/// reply with the leader's address. Thread safe.
class ControlCalls {
 public:
  using StatusHook = std::function<ReplicaStatus()>;

  /// The references and pointers must outlive this object.
  ControlCalls(const ControlOptions& options,
               ControlState* state,
               CommandProposer* proposer,
               StatusHook status,
               std::function<void(std::string_view)> log);

  ControlServiceHooks MakeHooks();

  /// "IP:port" of the leader's service for gateways; empty when not known.
  std::string LeaderAddress() const;

 private:
  template <typename Reply>
  using Done = std::function<void(const Reply&)>;

  void Register(const wire::RegisterRequest& request,
                Done<wire::RegisterReply> done);
  void Claim(const wire::ClaimRequest& request, Done<wire::ClaimReply> done);
  void FinishClaim(const wire::FinishClaimRequest& request,
                   Done<wire::FinishClaimReply> done);
  void Report(const wire::ReportRequest& request, Done<wire::ReportReply> done);
  void AddLimits(wire::ReportCommand* report) const;
  void ProposeLeavingServers(const wire::ReportRequest& request);
  void TakeCrashes(const wire::ReportRequest& request);
  /// Sets the list if this VM leads.
  template <typename Reply>
  void AddSuspects(const ReplicaStatus& status, Reply* reply);

  const ControlOptions& options_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const StatusHook status_;
  CrashRegister crashes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_CALLS_H_
