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

/// The gateway's configuration and its lease: brings watcher, renewer and the
/// pure parts together. Used on the link's thread, but Start.
class ConfigHolder {
 public:
  /// `on_unregistered` is called when control does not know this gateway.
  ConfigHolder(ControlLink* link,
               const ControlClientHooks& hooks,
               std::function<void()> on_unregistered);

  void Start();

 private:
  void Tick();
  void OnUpdate(const wire::ConfigUpdate& update);
  void OnReply(const wire::LeaseReply& reply, TimePoint sent);
  void OnProbe(const std::string& address, bool answered);
  void TellServers(const wire::ConfigUpdate& update) const;
  void TellLease();
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
  /// Voters, as last heard.
  size_t voters_ = 0;
  TimePoint told_until_{};
  /// The next watch asks for the whole document.
  bool need_whole_ = false;
  /// Newest version any voter named, and since when it is above ours.
  uint64_t newest_seen_ = 0;
  TimePoint behind_since_{};
  Duration behind_limit_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONFIG_HOLDER_H_
