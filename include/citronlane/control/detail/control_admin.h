#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_ADMIN_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_ADMIN_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/control/detail/admin_context.h"
#include "citronlane/control/detail/admin_replies.h"
#include "citronlane/control/detail/config_routes.h"
#include "citronlane/control/detail/fleet_routes.h"
#include "citronlane/control/operator_key.h"
#include "citronlane/transport/admin_request.h"
#include "citronlane/transport/admin_response.h"

namespace citronlane {

/// The administration API of one control VM: authenticates operators, redirects
/// to the leader and dispatches calls to their route. Thread safe.
class ControlAdmin {
 public:
  explicit ControlAdmin(AdminContext context);
  ControlAdmin(const ControlAdmin&) = delete;
  ControlAdmin& operator=(const ControlAdmin&) = delete;

  /// Serves a call. Blocks for a few seconds at most.
  AdminResponse Handle(const AdminRequest& request) const;
  /// Returns the response to a call that has no operator's key, before its body
  /// is read. Doesn't block.
  std::optional<AdminResponse> RefuseHead(const AdminRequest& head) const;

 private:
  enum class Target { kAnyNode, kLeader };

  /// `argument` is the path segment matched by '*', `operator_name` the
  /// operator's name.
  using Run = std::function<AdminResponse(const AdminRequest& request,
                                          const std::string& argument,
                                          const std::string& operator_name)>;
  struct Route {
    std::string method_;
    /// Path pattern; at most one segment is '*'.
    std::string path_;
    Target target_;
    Run run_;
  };

  void AddRoutes();
  /// Returns the route of a call and sets `argument`, or returns null and sets
  /// `missing` to the status of the response.
  const Route* FindRoute(const AdminRequest& request,
                         std::string* argument,
                         AdminStatus* missing) const;
  AdminResponse RunRoute(const Route& route,
                         const AdminRequest& request,
                         const std::string& argument) const;
  const OperatorKey* OperatorOf(const AdminRequest& request) const;
  AdminResponse RedirectToLeader(const AdminRequest& request) const;
  bool ConfirmLeadership() const;
  AdminResponse Health() const;
  AdminResponse Metrics() const;

  const AdminContext context_;
  const ConfigRoutes config_;
  const FleetRoutes fleet_;
  std::vector<Route> routes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_ADMIN_H_
