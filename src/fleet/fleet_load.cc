#include "citronlane/fleet/fleet_load.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

template <typename Value>
Value MedianOf(std::vector<Value> values) {
  if (values.empty()) {
    return Value();
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

FleetLoad::FleetLoad(absl::Span<const Gateway> gateways,
                     const PoolAssignment::Owners& owners,
                     TimePoint since) {
  for (const auto& [partition, owner] : owners) {
    owned_[owner].push_back(partition);
  }
  for (const Gateway& gateway : gateways) {
    if (gateway.reported_ && *gateway.reported_ >= since) {
      by_endpoint_[gateway.gateway_.endpoint_] = &gateway;
    }
  }
  for (const auto& [endpoint, gateway] : by_endpoint_) {
    known_.push_back(gateway);
  }
  ReadBase();
}

const FleetLoad::Gateway* FleetLoad::Find(const std::string& endpoint) const {
  const auto found = by_endpoint_.find(endpoint);
  return found == by_endpoint_.end() ? nullptr : found->second;
}

std::vector<PoolPartition> FleetLoad::PartitionsOf(
    const std::string& endpoint) const {
  const auto found = owned_.find(endpoint);
  return found == owned_.end() ? std::vector<PoolPartition>() : found->second;
}

FleetLoad::Amount FleetLoad::CapacityOf(const Gateway& gateway) {
  const GatewayCapacity& capacity = gateway.gateway_.capacity_;
  return {capacity.processor_cores_, capacity.link_bytes_per_second_};
}

FleetLoad::Amount FleetLoad::UsedBy(const Gateway& gateway) {
  const Amount capacity = CapacityOf(gateway);
  return {capacity.processor_ * gateway.load_.processor_use_,
          capacity.link_ * gateway.load_.link_use_};
}

FleetLoad::Amount FleetLoad::CostOfPartition(const Gateway& gateway) const {
  const auto owned = owned_.find(gateway.gateway_.endpoint_);
  if (owned == owned_.end()) {
    return {};
  }
  const Amount used = UsedBy(gateway);
  const auto count = static_cast<double>(owned->second.size());
  return {std::max(0.0, used.processor_ - base_.processor_) / count,
          std::max(0.0, used.link_ - base_.link_) / count};
}

void FleetLoad::ReadBase() {
  std::vector<double> processor;
  std::vector<double> link;
  std::vector<Duration> lags;
  for (const Gateway* gateway : known_) {
    if (owned_.count(gateway->gateway_.endpoint_) == 0) {
      const Amount used = UsedBy(*gateway);
      processor.push_back(used.processor_);
      link.push_back(used.link_);
      lags.push_back(gateway->load_.loop_lag_);
    }
  }
  base_ = {MedianOf(std::move(processor)), MedianOf(std::move(link))};
  base_lag_ = MedianOf(std::move(lags));
}

}  // namespace citronlane
