#ifndef CITRONLANE_GATEWAY_GATEWAY_H_
#define CITRONLANE_GATEWAY_GATEWAY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/base/time.h"
#include "citronlane/gateway/gateway_hooks.h"
#include "citronlane/gateway/gateway_options.h"
#include "citronlane/transport/class_usage.h"

namespace citronlane {

struct ClusterConfig;

/// One gateway: takes callers' requests, drives their pipelines over the
/// backend servers, answers. All public methods are thread safe, but Start
/// and the destructor, which one thread calls.
class Gateway {
 public:
  Gateway(GatewayOptions options, GatewayHooks hooks);
  /// Precondition: never started, or Wait has returned.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Binds the listener and starts the threads. Returns false and a reason
  /// when the address can't be bound. Call once.
  bool Start(Error* error);

  /// Port of the listener. Precondition: Start returned true.
  uint16_t port() const;

  /// Takes a configuration of a higher version than the one in force; lower
  /// or equal ones are ignored. Requests in flight keep theirs. Returns
  /// whether it is in force now.
  bool ApplyConfig(std::shared_ptr<const ClusterConfig> config);

  /// Version in force; 0 when there is none.
  uint64_t config_version() const;

  /// The configuration is confirmed until `until`. New work is refused later.
  /// Without control, call once with TimePoint::max().
  void ExtendLease(TimePoint until);

  /// A backend server is leaving: no new calls go to it.
  void OnServerLeaving(std::string_view server, uint64_t incarnation);
  /// A backend server lives in this incarnation, later than the one it left.
  void OnServerLive(std::string_view server, uint64_t incarnation);

  /// Share of a class's spend that this gateway holds until `until`.
  void OnSpendShare(std::string_view class_name,
                    double amount,
                    TimePoint until);

  /// What each class used since the last call.
  std::vector<ClassUsage> TakeUsage();

  /// Whether new work is taken now; what /readyz says.
  bool ready() const;

  /// Callers' open connections, and requests being served.
  size_t connections() const;
  size_t requests_in_flight() const;
  /// Refusals dropped before they reached control.
  uint64_t refusals_dropped() const;

  /// Starts the graceful shutdown: not ready at once, new work is refused
  /// after the drain notice, work in flight ends. Returns at once.
  void Shutdown();

  /// Returns when the shutdown is over; true when no work was cut off.
  bool Wait();

  /// Process life in every request id: "<name>-<incarnation>".
  const std::string& identity() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_H_
