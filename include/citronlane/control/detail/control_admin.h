#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_ADMIN_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_ADMIN_H_

#include <functional>
#include <string>
#include <vector>

#include "citronlane/control/detail/admin_context.h"
#include "citronlane/control/detail/config_routes.h"
#include "citronlane/control/detail/fleet_routes.h"
#include "citronlane/control/operator_key.h"
#include "citronlane/transport/admin_request.h"
#include "citronlane/transport/admin_response.h"

namespace citronlane {

/// The administration API of one control VM: knows the operators, points to
/// the leader, finds the route. Thread safe.
class ControlAdmin {
 public:
  explicit ControlAdmin(AdminContext context);
  ControlAdmin(const ControlAdmin&) = delete;
  ControlAdmin& operator=(const ControlAdmin&) = delete;

  /// Blocks for a few seconds at most.
  AdminResponse Handle(const AdminRequest& request) const;

 private:
  enum class Where { kHere, kLeader };

  /// `argument` is the part of the path that stands for '*', `who` the
  /// operator.
  using Run = std::function<AdminResponse(const AdminRequest& request,
                                          const std::string& argument,
                                          const std::string& who)>;
  struct Route {
    std::string method_;
    /// At most one part is '*'.
    std::string path_;
    Where where_;
    Run run_;
  };

  void AddRoutes();
  AdminResponse RunRoute(const Route& route,
                         const AdminRequest& request,
                         const std::string& argument) const;
  const OperatorKey* OperatorOf(const AdminRequest& request) const;
  AdminResponse PointToLeader(const AdminRequest& request) const;
  bool ConfirmLead() const;
  AdminResponse Health() const;
  AdminResponse Metrics() const;

  const AdminContext context_;
  const ConfigRoutes config_;
  const FleetRoutes fleet_;
  std::vector<Route> routes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_ADMIN_H_
