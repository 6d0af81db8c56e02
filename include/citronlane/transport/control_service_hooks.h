#ifndef CITRONLANE_TRANSPORT_CONTROL_SERVICE_HOOKS_H_
#define CITRONLANE_TRANSPORT_CONTROL_SERVICE_HOOKS_H_

#include <functional>

#include "citronlane/transport/config_feed.h"
#include "control.pb.h"

namespace citronlane {

/// Implementation of the calls of ControlService. Hooks are called concurrently
/// from several threads; each must call its callback exactly once, from any
/// thread. All must be set.
struct ControlServiceHooks {
  template <typename Request, typename Reply>
  using Call =
      std::function<void(const Request&, std::function<void(const Reply&)>)>;

  std::function<ConfigFeed::Stream*(const wire::WatchRequest&)> watch_;
  std::function<wire::LeaseReply(const wire::LeaseRequest&)> renew_lease_;
  Call<wire::RegisterRequest, wire::RegisterReply> register_;
  Call<wire::ClaimRequest, wire::ClaimReply> claim_;
  Call<wire::FinishClaimRequest, wire::FinishClaimReply> finish_claim_;
  Call<wire::ReportRequest, wire::ReportReply> report_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_SERVICE_HOOKS_H_
