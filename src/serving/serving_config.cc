#include "citronlane/serving/serving_config.h"

#include <unordered_set>
#include <utility>

namespace citronlane {
namespace {

using Parts = ServingConfig::Parts;
using Messages = std::vector<std::string>;
using Names = std::unordered_set<std::string_view>;

void CheckStages(const Route& route, const Names& services, Messages* faults) {
  for (size_t i = 0; i < route.stages_.size(); ++i) {
    const RouteStage& stage = route.stages_[i];
    if (services.count(stage.service_) == 0) {
      faults->push_back("route " + route.name_ + ": stage " +
                        std::to_string(i) + " names an unknown service");
    }
    for (const uint32_t dependency : stage.after_) {
      if (dependency >= i) {
        faults->push_back("route " + route.name_ + ": stage " +
                          std::to_string(i) +
                          " needs a stage that does not come before it");
      }
    }
  }
}

void CheckRoute(const Route& route, const Names& services, Messages* faults) {
  double weight = 0;
  for (const WeightedService& weighted : route.split_) {
    weight += weighted.weight_;
    if (services.count(weighted.service_) == 0) {
      faults->push_back("route " + route.name_ +
                        " names an unknown service: " + weighted.service_);
    }
  }
  if (weight <= 0) {
    faults->push_back("route " + route.name_ + ": weights add up to 0");
  }
  if (route.timeout_ <= Duration::zero()) {
    faults->push_back("route " + route.name_ + ": its timeout is 0");
  }
  if (route.prefix_.empty() || route.prefix_.front() != '/' ||
      route.prefix_.back() != '/') {
    faults->push_back("route " + route.name_ +
                      ": a prefix begins and ends with '/'");
  }
  CheckStages(route, services, faults);
}

void CheckAccounts(const Parts& parts, Messages* faults) {
  Names keys;
  for (const ClientAccount& account : parts.accounts_) {
    for (const std::string& key : account.keys_) {
      if (!keys.insert(key).second) {
        faults->push_back("client account " + account.name_ +
                          ": one of its keys is held twice");
      }
    }
  }
}

}  // namespace

std::vector<std::string> ServingConfig::Faults(const Parts& parts) {
  Messages faults;
  Names services;
  for (const Service& service : parts.services_) {
    if (!services.insert(service.name_).second) {
      faults.push_back("service " + service.name_ + " is declared twice");
    }
  }
  std::unordered_set<RouteKey, RouteKey::Hash> route_keys;
  route_keys.reserve(parts.routes_.size());
  for (const auto& route : parts.routes_) {
    CheckRoute(*route, services, &faults);
    if (!route_keys.insert({route->host_, route->prefix_}).second) {
      faults.push_back("route " + route->name_ +
                       ": another route has its host and prefix");
    }
  }
  CheckAccounts(parts, &faults);
  return faults;
}

ServingConfig::ServingConfig(Parts parts) : parts_(std::move(parts)) {
  by_route_key_.reserve(parts_.routes_.size());
  for (const auto& route : parts_.routes_) {
    by_route_key_[{route->host_, route->prefix_}] = route.get();
  }
  for (const ClientAccount& account : parts_.accounts_) {
    for (const std::string& key : account.keys_) {
      by_key_[key] = &account;
    }
  }
  for (const Service& service : parts_.services_) {
    by_name_[service.name_] = &service;
  }
}

const Route* ServingConfig::FindRoute(std::string_view host,
                                      std::string_view path) const {
  // Shortens the path at each '/', trying the longest prefix first.
  std::string_view prefix = path.substr(0, path.rfind('/') + 1);
  while (!prefix.empty()) {
    const auto route = by_route_key_.find({host, prefix});
    if (route != by_route_key_.end()) {
      return route->second;
    }
    prefix.remove_suffix(1);
    prefix = prefix.substr(0, prefix.rfind('/') + 1);
  }
  return nullptr;
}

const ClientAccount* ServingConfig::FindAccount(std::string_view key) const {
  const auto it = by_key_.find(std::string(key));
  return it == by_key_.end() ? nullptr : it->second;
}

const Service* ServingConfig::FindService(std::string_view name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? nullptr : it->second;
}

}  // namespace citronlane
