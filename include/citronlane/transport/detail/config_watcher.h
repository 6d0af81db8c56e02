#ifndef CITRONLANE_TRANSPORT_DETAIL_CONFIG_WATCHER_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONFIG_WATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronlane/transport/detail/control_link.h"

namespace citronlane {

/// Watches the configuration at one control VM, at another one when that is
/// silent, ends the stream or stays behind. Used on the link's thread, which
/// also runs the hooks.
class ConfigWatcher {
 public:
  struct Hooks {
    std::function<void(const wire::ConfigUpdate&)> on_update_;
    /// Version to go on from; 0 asks for the whole document.
    std::function<uint64_t()> version_;
    std::function<void(const std::string& address)> on_left_;
  };

  ConfigWatcher(ControlLink* link, Hooks hooks);

  void Start();
  /// Leaves the node and goes on at the next one.
  void MoveOn();
  /// Asks the same node again.
  void Restart();

  /// Address of the node that is watched, or was last.
  const std::string& address() const { return address_; }

 private:
  class Session;

  void Open();
  void OnUpdate(uint64_t serial, const wire::ConfigUpdate& update);
  void OnEnd(uint64_t serial);
  void Leave();

  ControlLink* const link_;
  const Hooks hooks_;
  size_t next_ = 0;
  std::string address_;
  /// Tells the present session from those left behind.
  uint64_t serial_ = 0;
  std::shared_ptr<Session> session_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONFIG_WATCHER_H_
