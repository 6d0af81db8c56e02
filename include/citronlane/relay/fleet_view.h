#ifndef CITRONLANE_RELAY_FLEET_VIEW_H_
#define CITRONLANE_RELAY_FLEET_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/server_incarnations.h"
#include "citronlane/routing/version_history.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/gateway_capacity.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/state/drained_domains.h"

namespace citronlane {

/// A gateway's view of the fleet: the configuration in force, the backend
/// servers, the other gateways and the owners of pool partitions. It stores
/// what it is given and sends nothing. Pure: no I/O, no clock. Not thread safe.
class FleetView {
 public:
  struct Gateway {
    std::string endpoint_;
    std::string failure_domain_;
    bool stopping_ = false;
    /// Whether it reaches no backend server.
    bool cut_off_ = false;
    /// Where it takes requests that others forward, "IP:port"; empty when it
    /// takes none.
    std::string relay_address_{};
    GatewayCapacity capacity_{};
  };

  /// Takes a configuration with a higher version than the present one. Returns
  /// whether it was taken.
  bool SetConfig(std::shared_ptr<const ServingConfig> config);
  /// Takes a server list that was read at `read`, unless the present one was
  /// read later. Of each server the current incarnation is kept.
  void SetServers(std::vector<BackendServer> servers, TimePoint read);
  /// Marks servers of these failure domains as taking no new work, whatever
  /// their state in the server list.
  void SetDrained(DrainedDomains::Names domains);
  /// Marks an incarnation of a server, by its id, as taking no new work from
  /// now on, whatever its state in present and later lists.
  void SetLeaving(const std::string& server);
  /// The present list was read again at `read` and is unchanged.
  void ConfirmServers(TimePoint read);
  /// Replaces the list of gateways.
  void SetGateways(std::vector<Gateway> gateways);
  /// Takes the owners of the partitions if `number` is higher than that of the
  /// present owners.
  void SetOwners(uint64_t number, PoolAssignment::Owners owners);

  /// Null before the first configuration.
  const std::shared_ptr<const ServingConfig>& config() const { return config_; }
  /// Servers of a service, leaving ones included. Valid until the list changes.
  /// All servers, those of drained failure domains as leaving.
  const std::vector<BackendServer>& servers() const { return servers_; }
  std::vector<const BackendServer*> ServersOf(std::string_view service) const;
  /// Servers of a service that are in the partition, leaving ones included.
  std::vector<const BackendServer*> ServersIn(
      const PoolPartition& partition) const;
  /// Partitions of the service's pool as control has divided it or, while
  /// control has named no owners at all, as it would divide it by this view's
  /// list. Never empty.
  std::vector<PoolPartition> PartitionsOf(const std::string& service) const;
  /// Whether the partition exists.
  bool HasPartition(const PoolPartition& partition) const;
  /// Whether control has named the gateway `endpoint` as the partition's owner.
  bool IsOwner(const PoolPartition& partition,
               const std::string& endpoint) const;
  /// Whether work that waits in a partition at the gateway `endpoint` belongs
  /// elsewhere: the partition no longer exists, or it has another owner and is
  /// one of a failure domain or was moved there from this gateway. An undivided
  /// pool may be at a successor that control has not named yet.
  bool BelongsElsewhere(const PoolPartition& partition,
                        const std::string& endpoint) const;
  /// Whether the service's pool has partitions of failure domains.
  bool IsDivided(const std::string& service) const;
  /// The partition that contains the service's servers of a failure domain.
  PoolPartition PartitionIn(const std::string& service,
                            const std::string& failure_domain) const;
  /// Server with the id; null when there is none. Valid until the list changes.
  const BackendServer* FindServer(std::string_view id) const;
  /// Incarnations of the listed servers, for their counts.
  const ServerIncarnations& incarnations() const { return incarnations_; }
  /// Software versions that the server lists have shown.
  const VersionHistory& versions() const { return versions_; }
  /// Server at the address "IP:port"; null when there is none.
  const BackendServer* ServerAt(std::string_view address) const;
  /// Failure domain of the server at the address "IP:port"; empty when there is
  /// none.
  std::string DomainAt(std::string_view address) const;
  /// Rises with each change of the servers.
  uint64_t servers_number() const { return servers_number_; }
  /// Rises whenever the result of ServersIn() may have changed.
  uint64_t partitions_number() const { return partitions_number_; }
  /// Time since the list was read; nothing before the first one.
  std::optional<Duration> ServersAge(TimePoint now) const;
  const std::vector<Gateway>& gateways() const { return gateways_; }
  uint64_t owners_number() const { return owners_number_; }
  const PoolAssignment::Owners& owners() const { return owners_; }
  /// Number of gateways that share fleet-wide limits: the largest number known
  /// since construction, or an assumed one before the first list.
  size_t GatewayCount() const;

 private:
  void UseServers();
  void UpdatePartitions();
  void NoteFormerOwners(const PoolAssignment::Owners& next);

  std::shared_ptr<const ServingConfig> config_;
  /// Servers as in the list, without drained domains applied.
  std::vector<BackendServer> listed_;
  DrainedDomains::Names drained_;
  /// Incarnations that were marked as leaving, and the order of that.
  std::set<std::string, std::less<>> leaving_;
  std::deque<std::string> leaving_order_;
  std::vector<BackendServer> servers_;
  ServerIncarnations incarnations_;
  VersionHistory versions_;
  std::map<std::string, size_t, std::less<>> by_id_;
  std::map<std::string, size_t, std::less<>> by_address_;
  std::optional<TimePoint> servers_read_;
  uint64_t servers_number_ = 0;
  std::vector<Gateway> gateways_;
  size_t max_gateway_count_ = 0;
  uint64_t owners_number_ = 0;
  PoolAssignment::Owners owners_;
  /// The owner that a partition had before its present one.
  PoolAssignment::Owners former_owners_;
  /// Partitions by service; a service that is missing here has an undivided
  /// pool.
  std::map<std::string, std::vector<PoolPartition>> partitions_;
  uint64_t partitions_number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_FLEET_VIEW_H_
