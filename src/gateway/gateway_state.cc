#include "citronlane/gateway/gateway_state.h"

#include <utility>

#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/config_view.h"

namespace citronlane {

bool GatewayState::ApplyConfig(std::shared_ptr<const ClusterConfig> config) {
  auto view = std::make_shared<const ConfigView>(std::move(config));
  const std::lock_guard lock(mutex_);
  if (config_ && view->config()->version_ <= config_->config()->version_) {
    return false;
  }
  config_ = std::move(view);
  return true;
}

std::shared_ptr<const ConfigView> GatewayState::config() const {
  const std::lock_guard lock(mutex_);
  return config_;
}

uint64_t GatewayState::config_version() const {
  const std::lock_guard lock(mutex_);
  return config_ ? config_->config()->version_ : 0;
}

void GatewayState::ExtendLease(TimePoint until) {
  const int64_t wanted = until.time_since_epoch().count();
  int64_t known = lease_until_us_;
  while (known < wanted &&
         !lease_until_us_.compare_exchange_weak(known, wanted)) {
  }
}

std::optional<RefusalReason> GatewayState::Refuses(TimePoint now) const {
  if (refusing_) {
    return RefusalReason::kShuttingDown;
  }
  if (config_version() == 0) {
    return RefusalReason::kNoConfiguration;
  }
  if (now.time_since_epoch().count() >= lease_until_us_) {
    return RefusalReason::kConfigurationLeaseLapsed;
  }
  return std::nullopt;
}

bool GatewayState::Ready(TimePoint now) const {
  return !draining_ && !Refuses(now);
}

}  // namespace citronlane
