#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_CALLS_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_CALLS_H_

#include <functional>
#include <string>

#include "citronlane/control/control_options.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/control/replica_status.h"
#include "citronlane/transport/control_service_hooks.h"

namespace citronlane {

/// Answers the gateways' calls: turns them into commands on the leader, names
/// the leader elsewhere. Thread safe.
class ControlCalls {
 public:
  using StatusHook = std::function<ReplicaStatus()>;

  /// The references must outlive this.
  ControlCalls(const ControlOptions& options,
               ControlState* state,
               CommandProposer* proposer,
               StatusHook status);

  ControlServiceHooks MakeHooks();

  /// Address of the leader's service for gateways, or empty.
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
  void ProposeLeaving(const wire::ReportRequest& request);

  const ControlOptions& options_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const StatusHook status_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_CALLS_H_
