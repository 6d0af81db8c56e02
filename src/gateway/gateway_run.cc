#include "citronlane/gateway/gateway_run.h"

#include <memory>
#include <optional>
#include <utility>

#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/gateway/gateway.h"
#include "citronlane/gateway/gateway_control.h"
#include "citronlane/gateway/gateway_metrics.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/observe/logger.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/process/detail/unix_time.h"
#include "citronlane/process/stop_signals.h"
#include "citronlane/settings/files.h"

namespace citronlane {
namespace {

constexpr uint64_t kBootstrapVersion = 1;

std::shared_ptr<const ClusterConfig> ReadBootstrap(const std::string& path,
                                                   Error* error) {
  const std::optional<std::string> text = ReadFile(path, error);
  if (!text) {
    return nullptr;
  }
  std::vector<Fault> faults;
  auto config = ParseClusterConfig(*text, kBootstrapVersion, &faults);
  if (!config) {
    error->message_ = path + ":";
    for (const std::string& line : FormatFaults(faults)) {
      error->message_.append("\n").append(line);
    }
    return nullptr;
  }
  return std::make_shared<const ClusterConfig>(*std::move(config));
}

/// Serves until a stop signal. `control` may be null.
bool Serve(const StopSignals& signals,
           Gateway* gateway,
           GatewayControl* control,
           Error* error) {
  if (!gateway->Start(error)) {
    return false;
  }
  if (control != nullptr) {
    control->Start(gateway);
  }
  signals.Wait();
  gateway->Shutdown();
  const bool whole = gateway->Wait();
  if (control != nullptr) {
    control->Stop();
  }
  if (!whole) {
    error->message_ = "requests in flight were aborted at the drain limit";
  }
  return whole;
}

}  // namespace

bool RunGateway(const GatewayOptions& options,
                GatewayHooks hooks,
                Error* error) {
  const StopSignals signals;

  GatewayOptions own = options;
  if (own.incarnation_ == 0) {
    own.incarnation_ = detail::UnixMilliseconds();
  }
  std::shared_ptr<const ClusterConfig> bootstrap;
  if (own.control_addresses_.empty()) {
    bootstrap = ReadBootstrap(own.bootstrap_config_, error);
    if (bootstrap == nullptr) {
      return false;
    }
  }
  Metrics metrics;
  metrics.Set(kBuildInfo, {CITRONLANE_VERSION}, 1);
  GatewayMetrics counts(&metrics);
  const Gateway* running = nullptr;
  hooks.events_ = counts.Events();
  hooks.metrics_text_ = [&counts, &running] { return counts.Text(*running); };
  if (!hooks.log_) {
    hooks.log_ = Logger("gateway").Hook();
  }
  std::unique_ptr<GatewayControl> control;
  if (bootstrap == nullptr) {
    control = std::make_unique<GatewayControl>(own, hooks);
    control->Bind(&hooks);
  }
  Gateway gateway(own, std::move(hooks));
  running = &gateway;
  if (bootstrap != nullptr) {
    gateway.ApplyConfig(std::move(bootstrap));
    gateway.ExtendLease(TimePoint::max());
  }
  return Serve(signals, &gateway, control.get(), error);
}

}  // namespace citronlane
