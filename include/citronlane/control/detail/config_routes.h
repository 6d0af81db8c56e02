#ifndef CITRONLANE_CONTROL_DETAIL_CONFIG_ROUTES_H_
#define CITRONLANE_CONTROL_DETAIL_CONFIG_ROUTES_H_

#include <optional>
#include <string>
#include <vector>

#include "citronlane/control/detail/admin_context.h"
#include "citronlane/json/fault.h"
#include "citronlane/transport/admin_request.h"
#include "citronlane/transport/admin_response.h"

namespace citronlane {

/// Calls of the administration API that concern the configuration; only the
/// leader runs them. Thread safe.
class ConfigRoutes {
 public:
  explicit ConfigRoutes(const AdminContext& context) : context_(context) {}

  AdminResponse Get(const AdminRequest& request) const;
  AdminResponse History() const;
  AdminResponse Status(const AdminRequest& request) const;
  AdminResponse Change(const AdminRequest& request,
                       const std::string& operator_name) const;
  AdminResponse Rollback(const AdminRequest& request,
                         const std::string& operator_name) const;

 private:
  AdminResponse Commit(wire::ConfigChange change) const;
  AdminResponse ReplyTo(const wire::ConfigResult& result) const;
  std::vector<Fault> FaultsOf(const wire::ConfigChange& change) const;
  JsonValue Gateways() const;

  const AdminContext& context_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONFIG_ROUTES_H_
