#ifndef CITRONLANE_RELAY_FLEET_VIEW_H_
#define CITRONLANE_RELAY_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/server_starts.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/state/drained_domains.h"

namespace citronlane {

/// What a gateway knows of the fleet: the configuration in force, the backend
/// servers and the other gateways, each with its age. Pure. Not thread safe.
class FleetView {
 public:
  struct Gateway {
    std::string endpoint_;
    std::string failure_domain_;
    bool stopping_ = false;
  };

  /// Takes a configuration of a higher version than the one held. Returns
  /// whether it did.
  bool SetConfig(std::shared_ptr<const ServingConfig> config);
  /// Takes a list that was read at `read`, unless a newer one is held. Of each
  /// server the latest start counts.
  void SetServers(std::vector<BackendServer> servers, TimePoint read);
  /// Servers of these failure domains take no new work, whatever the list says.
  void SetDrained(DrainedDomains::Names domains);
  /// The list held was read again at `read` and is the same.
  void ConfirmServers(TimePoint read);
  void SetGateways(std::vector<Gateway> gateways);
  /// Takes the owners of parts, unless newer ones are held.
  void SetOwners(uint64_t number, PoolAssignment::Owners owners);

  /// Null until the first one came.
  const std::shared_ptr<const ServingConfig>& config() const { return config_; }
  /// Servers of a service, leaving ones included.
  std::vector<const BackendServer*> ServersOf(std::string_view service) const;
  /// Those of them that are in this part.
  std::vector<const BackendServer*> ServersIn(const PoolPart& part) const;
  /// Parts that control has divided the service's pool into, or, as long as it
  /// has named no owners at all, what it would divide it into by this view's
  /// list. Never empty.
  std::vector<PoolPart> PartsOf(const std::string& service) const;
  bool HasPart(const PoolPart& part) const;
  /// Whether work that waits in a part at this gateway belongs elsewhere: it is
  /// no part any more, or one of a failure domain that has another gateway. A
  /// whole pool may be with a successor that nobody has named yet.
  bool IsElsewhere(const PoolPart& part, const std::string& endpoint) const;
  /// Whether the service's pool has parts of failure domains.
  bool IsDivided(const std::string& service) const;
  /// The part that holds the service's servers of a failure domain.
  PoolPart PartIn(const std::string& service,
                  const std::string& failure_domain) const;
  const BackendServer* FindServer(std::string_view id) const;
  const ServerStarts& starts() const { return starts_; }
  /// The server at "IP:port"; null when there is none.
  const BackendServer* ServerAt(std::string_view address) const;
  /// Failure domain of the server at "IP:port"; empty when there is none.
  std::string DomainAt(std::string_view address) const;
  /// Rises with each change of the list.
  uint64_t servers_number() const { return servers_number_; }
  /// Rises whenever ServersIn may have changed.
  uint64_t parts_number() const { return parts_number_; }
  /// Age of the list; nothing until one was read.
  std::optional<Duration> ServersAge(TimePoint now) const;
  const std::vector<Gateway>& gateways() const { return gateways_; }
  uint64_t owners_number() const { return owners_number_; }
  const PoolAssignment::Owners& owners() const { return owners_; }
  /// How many gateways share what all may use: at least those known, and never
  /// fewer than were known lately.
  size_t GatewayCount() const;

 private:
  void UseServers();
  void UpdateParts();

  std::shared_ptr<const ServingConfig> config_;
  /// As the list says.
  std::vector<BackendServer> listed_;
  DrainedDomains::Names drained_;
  std::vector<BackendServer> servers_;
  ServerStarts starts_;
  std::map<std::string, size_t, std::less<>> by_id_;
  std::map<std::string, size_t, std::less<>> by_address_;
  std::optional<TimePoint> servers_read_;
  uint64_t servers_number_ = 0;
  std::vector<Gateway> gateways_;
  size_t most_gateways_ = 0;
  uint64_t owners_number_ = 0;
  PoolAssignment::Owners owners_;
  /// By service; one that is not named here has a whole pool.
  std::map<std::string, std::vector<PoolPart>> parts_;
  uint64_t parts_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_FLEET_VIEW_H_
