#ifndef CITRONLANE_SERVING_SERVING_CONFIG_H_
#define CITRONLANE_SERVING_SERVING_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronlane/serving/caller_limits.h"
#include "citronlane/serving/client_account.h"
#include "citronlane/serving/route.h"
#include "citronlane/serving/route_key.h"
#include "citronlane/serving/service.h"

namespace citronlane {

/// One version of the operator's configuration: routes, services and client
/// accounts. It only answers lookups; platform code reads it from a document.
/// Immutable after construction; may be shared between threads.
class ServingConfig {
 public:
  using Routes = std::vector<std::shared_ptr<const Route>>;

  /// Contents as the operator declared them.
  struct Parts {
    uint64_t version_ = 0;
    /// Shared with other versions as far as they are unchanged.
    Routes routes_;
    std::vector<Service> services_;
    /// Empty when every route is open.
    std::vector<ClientAccount> accounts_;
    CallerLimits limits_;
  };

  explicit ServingConfig(Parts parts);
  ServingConfig(const ServingConfig&) = delete;
  ServingConfig& operator=(const ServingConfig&) = delete;

  /// Returns the validation errors of `parts`, one line each; empty when they
  /// make a valid configuration. Thread safe.
  static std::vector<std::string> Faults(const Parts& parts);

  uint64_t version() const { return parts_.version_; }
  const CallerLimits& limits() const { return parts_.limits_; }
  const Routes& routes() const { return parts_.routes_; }
  const std::vector<Service>& services() const { return parts_.services_; }
  bool has_accounts() const { return !parts_.accounts_.empty(); }

  /// Route of the host with the longest prefix that `path` begins with; null
  /// when there is none. `path` must not contain a query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Account that has the key; null when there is none.
  const ClientAccount* FindAccount(std::string_view key) const;
  const Service* FindService(std::string_view name) const;

 private:
  const Parts parts_;
  /// The keys point into `parts_`.
  std::unordered_map<RouteKey, const Route*, RouteKey::Hash> by_route_key_;
  std::unordered_map<std::string, const ClientAccount*> by_key_;
  std::map<std::string, const Service*, std::less<>> by_name_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVING_CONFIG_H_
