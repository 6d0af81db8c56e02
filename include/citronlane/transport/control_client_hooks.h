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

struct ClusterConfig;

/// What a ControlClient tells its gateway, from its own threads. A missing
/// hook is not called.
struct ControlClientHooks {
  /// A whole configuration, always of a higher version than the one before.
  /// The version is in force here once the hook has returned.
  std::function<void(std::shared_ptr<const ClusterConfig>)> on_config_;
  /// The configuration is confirmed until this moment; later than before.
  std::function<void(TimePoint until)> on_lease_;
  /// A backend server leaves, in this incarnation.
  std::function<void(std::string_view server, uint64_t incarnation)>
      on_leaving_;
  /// A backend server that was leaving lives again, in a later incarnation.
  std::function<void(std::string_view server, uint64_t incarnation)> on_live_;
  /// This gateway may spend `amount` for the class until `until`.
  std::function<
      void(std::string_view class_name, double amount, TimePoint until)>
      on_share_;
  /// Asked before each report; what was used since it was last asked.
  std::function<std::vector<ClassUsage>()> take_usage_;
  /// Takes one log line without its end.
  std::function<void(std::string_view)> log_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONTROL_CLIENT_HOOKS_H_
