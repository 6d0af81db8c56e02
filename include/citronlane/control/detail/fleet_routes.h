#ifndef CITRONLANE_CONTROL_DETAIL_FLEET_ROUTES_H_
#define CITRONLANE_CONTROL_DETAIL_FLEET_ROUTES_H_

#include <functional>
#include <string>

#include "citronlane/control/detail/admin_context.h"
#include "citronlane/transport/admin_request.h"
#include "citronlane/transport/admin_response.h"

namespace citronlane {

/// Calls of the administration API that concern refusals, control VMs, backend
/// servers and engine orders. Thread safe.
class FleetRoutes {
 public:
  explicit FleetRoutes(const AdminContext& context) : context_(context) {}

  AdminResponse Refusal(const std::string& id) const;
  AdminResponse Members() const;
  AdminResponse ChangeMembers(const AdminRequest& request) const;
  AdminResponse Servers() const;
  AdminResponse Drain(const std::string& server) const;
  AdminResponse Orders() const;
  AdminResponse SubmitOrder(const std::string& server,
                            const AdminRequest& request,
                            const std::string& operator_name) const;
  /// Returns the status of this node; needs no leader.
  AdminResponse Status() const;

 private:
  AdminResponse AddMember(uint64_t id, const wire::PeerRecord& peer) const;
  AdminResponse WaitMembership(
      const std::function<void(Replica::ProposeDone)>& change) const;
  AdminResponse Propose(wire::StateCommand command,
                        std::string_view refused) const;

  const AdminContext& context_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_FLEET_ROUTES_H_
