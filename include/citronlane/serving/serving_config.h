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
#include "citronlane/serving/route_place.h"
#include "citronlane/serving/service.h"

namespace citronlane {

/// One version of what the operator wants: routes, services, client accounts.
/// Immutable once built; readers may share it.
class ServingConfig {
 public:
  using Routes = std::vector<std::shared_ptr<const Route>>;

  /// Parts as the operator declared them.
  struct Parts {
    uint64_t version_ = 0;
    /// Shared with the versions before and after, as far as they are the same.
    Routes routes_;
    std::vector<Service> services_;
    /// No accounts: every route is open.
    std::vector<ClientAccount> accounts_;
    CallerLimits limits_;
  };

  explicit ServingConfig(Parts parts);
  ServingConfig(const ServingConfig&) = delete;
  ServingConfig& operator=(const ServingConfig&) = delete;

  /// Returns what is wrong with the parts, one line each; empty when they make
  /// a configuration. Thread safe.
  static std::vector<std::string> Faults(const Parts& parts);

  uint64_t version() const { return parts_.version_; }
  const CallerLimits& limits() const { return parts_.limits_; }
  const Routes& routes() const { return parts_.routes_; }
  const std::vector<Service>& services() const { return parts_.services_; }
  bool has_accounts() const { return !parts_.accounts_.empty(); }

  /// Route of that host whose prefix is the longest that begins `path`; null
  /// when there is none. `path` holds no query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Account that holds the key; null when none does.
  const ClientAccount* FindAccount(std::string_view key) const;
  const Service* FindService(std::string_view name) const;

 private:
  const Parts parts_;
  /// The names lie in `parts_`.
  std::unordered_map<RoutePlace, const Route*, RoutePlace::Hash> by_place_;
  std::unordered_map<std::string, const ClientAccount*> by_key_;
  std::map<std::string, const Service*, std::less<>> by_name_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVING_CONFIG_H_
