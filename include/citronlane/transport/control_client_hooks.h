#ifndef CITRONLANE_TRANSPORT_CONTROL_CLIENT_HOOKS_H_
#define CITRONLANE_TRANSPORT_CONTROL_CLIENT_HOOKS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/class_usage.h"

namespace citronlane {

namespace wire {
class SuspectList;
}  // namespace wire

struct ClusterConfig;

/// Hooks by which a ControlClient notifies its gateway, called from the
/// client's threads. All are optional.
struct ControlClientHooks {
  /// A complete configuration, with a higher version than the previous one. It
  /// counts as in force at this gateway once the hook has returned.
  std::function<void(std::shared_ptr<const ClusterConfig>)> on_config_;
  /// The configuration lease now ends at `until`, later than before.
  std::function<void(TimePoint until)> on_lease_;
  /// The backend server is draining in this incarnation.
  std::function<void(std::string_view server, uint64_t incarnation)>
      on_leaving_;
  /// A backend server that was draining runs again, with a later incarnation.
  std::function<void(std::string_view server, uint64_t incarnation)> on_live_;
  /// The leader has sent its list of requests under which servers crashed; it
  /// is called several times in each second.
  std::function<void(const wire::SuspectList& list)> on_suspects_;
  /// This gateway may spend `amount` micro-units for the class until `until`.
  std::function<
      void(std::string_view class_name, double amount, TimePoint until)>
      on_share_;
  /// Called before each report; returns the usage since the previous call.
  std::function<std::vector<ClassUsage>()> take_usage_;
  /// Writes one log line, given without a line end.
  std::function<void(std::string_view)> log_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_CLIENT_HOOKS_H_
