#ifndef CITRONLANE_TRANSPORT_DETAIL_CONFIG_WATCHER_H_
#define CITRONLANE_TRANSPORT_DETAIL_CONFIG_WATCHER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "citronlane/transport/detail/control_link.h"

namespace citronlane {

/// Watches the configuration at one control VM, and switches to the next one
/// when the stream ends or the owner requests it. Used on the link's thread, on
/// which the hooks are called, too.
class ConfigWatcher {
 public:
  struct Hooks {
    std::function<void(const wire::ConfigUpdate&)> on_update_;
    /// Returns the version to continue from; 0 requests the full document.
    std::function<uint64_t()> version_;
    /// The node at `address` is not watched any more.
    std::function<void(const std::string& address)> on_switch_;
  };

  ConfigWatcher(ControlLink* link, Hooks hooks);

  void Start();
  /// Stops watching the node and watches the next one.
  void SwitchNode();
  /// Opens a new watch at the same node.
  void Restart();

  /// Address of the watched node, or of the last one.
  const std::string& address() const { return address_; }

 private:
  class Session;

  void Open();
  void OnUpdate(uint64_t serial, const wire::ConfigUpdate& update);
  void OnEnd(uint64_t serial);
  void CloseSession();

  ControlLink* const link_;
  const Hooks hooks_;
  size_t next_ = 0;
  std::string address_;
  /// Identifies the current session; events of earlier ones are ignored.
  uint64_t serial_ = 0;
  std::shared_ptr<Session> session_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_CONFIG_WATCHER_H_
