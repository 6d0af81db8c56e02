#ifndef CITRONLANE_TRANSPORT_DETAIL_CONFIG_HOLDER_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONFIG_HOLDER_H_

#include <cstdint>
#include <functional>

#include "citronlane/fleet/config_follower.h"
#include "citronlane/fleet/config_lease.h"
#include "citronlane/transport/control_client_hooks.h"
#include "citronlane/transport/detail/config_watcher.h"
#include "citronlane/transport/detail/control_link.h"
#include "citronlane/transport/detail/lease_renewer.h"

namespace citronlane {

/// Keeps a gateway's configuration and the lease on it up to date: connects
/// ConfigWatcher and LeaseRenewer, which communicate, with ConfigFollower and
/// ConfigLease, which decide. Used on the link's thread, except Start.
class ConfigHolder {
 public:
  /// `on_unregistered` is called when a control VM replies that the gateway
  /// isn't registered. Pointers and references must outlive the holder.
  ConfigHolder(ControlLink* link,
               const ControlClientHooks& hooks,
               std::function<void()> on_unregistered);

  /// Starts watching and renewing. Call once; thread safe.
  void Start();

 private:
  void Tick();
  void OnUpdate(const wire::ConfigUpdate& update);
  void OnReply(const wire::LeaseReply& reply, TimePoint sent);
  void OnProbe(const std::string& address, bool answered);
  void ReportServers(const wire::ConfigUpdate& update) const;
  void ReportLease();
  void CheckBehind();
  void Log(const std::string& line) const;

  ControlLink* const link_;
  const ControlClientHooks& hooks_;
  const std::function<void()> on_unregistered_;
  ConfigFollower follower_;
  ConfigLease lease_;
  ConfigWatcher watcher_;
  LeaseRenewer renewer_;
  uint64_t ticks_ = 0;
  /// Number of voters, as last reported.
  size_t voter_count_ = 0;
  TimePoint reported_until_{};
  /// Whether the next watch requests the full document.
  bool need_full_document_ = false;
  /// Newest version that any voter reported, and since when it has been higher
  /// than the version in force here.
  uint64_t newest_voter_version_ = 0;
  TimePoint behind_since_{};
  Duration behind_limit_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONFIG_HOLDER_H_
