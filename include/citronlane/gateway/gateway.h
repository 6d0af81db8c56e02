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

namespace wire {
class SuspectList;
}  // namespace wire

struct ClusterConfig;

/// One gateway: accepts callers' requests over HTTP, runs their pipelines on
/// the backend servers and sends the responses. It doesn't talk to the control
/// VMs (see GatewayControl) and doesn't own the process (see RunGateway).
///
/// All public methods are thread safe, except Start and the destructor, which
/// must be called by one thread.
class Gateway {
 public:
  Gateway(GatewayOptions options, GatewayHooks hooks);
  /// Precondition: Start was not called or failed, or Wait has returned.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Binds the listener and starts the threads. Returns false and sets `error`
  /// if the address can't be bound. Call once.
  bool Start(Error* error);

  /// Port of the listener. Precondition: Start returned true.
  uint16_t port() const;

  /// Applies a configuration if its version is higher than the one in force,
  /// and returns whether it did. Requests in flight keep the configuration
  /// that they started with. Precondition: `config` is not null.
  bool ApplyConfig(std::shared_ptr<const ClusterConfig> config);

  /// Version of the configuration in force; 0 before the first one.
  uint64_t config_version() const;

  /// Extends the configuration lease to `until`, never shortens it. New
  /// requests are refused once it has expired. Without control VMs, call once
  /// with TimePoint::max().
  void ExtendLease(TimePoint until);

  /// Stops new calls to a draining backend server.
  void OnServerLeaving(std::string_view server, uint64_t incarnation);
  /// Resumes calls to a backend server that has restarted with this, later
  /// incarnation.
  void OnServerLive(std::string_view server, uint64_t incarnation);

  /// Takes the leader's list of requests under which backend servers crashed.
  void OnSuspects(const wire::SuspectList& list);

  /// Sets the amount, in micro-units, that this gateway may spend for a class
  /// until `until`.
  void OnSpendShare(std::string_view class_name,
                    double amount,
                    TimePoint until);

  /// Returns the usage of each class since the last call.
  std::vector<ClassUsage> TakeUsage();

  /// Whether new requests are accepted and no shutdown has begun; the result of
  /// /readyz.
  bool ready() const;

  /// Number of open connections from callers.
  size_t connections() const;
  /// Number of requests that are being served.
  size_t requests_in_flight() const;
  /// Number of refusals that were dropped before they reached the control VMs.
  uint64_t refusals_dropped() const;

  /// Starts a graceful shutdown and returns immediately: the gateway reports
  /// that it isn't ready, refuses new requests after
  /// GatewayOptions::drain_notice_, and lets requests in flight end for at most
  /// drain_limit_.
  void Shutdown();

  /// Waits for the end of the shutdown. Returns false if requests were aborted
  /// at the drain limit. Precondition: Start returned true.
  bool Wait();

  /// Returns "<name>-<incarnation>", the prefix of all request and refusal ids.
  const std::string& identity() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_GATEWAY_H_
