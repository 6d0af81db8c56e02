#include "citronlane/fleet/pool_division.h"

#include <algorithm>
#include <map>
#include <string>

namespace citronlane {
namespace {

/// Largest undivided pools. The owner of a stage pool forms every call and
/// tracks every piece; for an engine it only answers one placement question a
/// request.
constexpr size_t kMaxUndividedStageServers = 24;
constexpr size_t kMaxUndividedEngines = 96;
/// A divided pool is merged again only below the limit divided by this, so that
/// servers that join and leave do not divide it again and again.
constexpr size_t kMergeDivisor = 2;
/// A failure domain with fewer servers gets no partition of its own: a call
/// waits longer for one of few servers than for one of many.
constexpr size_t kMinPartitionServers = 4;

using ServersByDomain = std::map<std::string, size_t>;

bool IsDivided(const PooledService& service,
               size_t servers,
               const PoolAssignment::Owners& held,
               const PoolDivisions& divisions) {
  const size_t max_servers =
      service.has_engines_ ? kMaxUndividedEngines : kMaxUndividedStageServers;
  const auto wanted = divisions.find(service.name_);
  if (wanted != divisions.end()) {
    return wanted->second == PoolDivision::kDivided || servers > max_servers;
  }
  const bool was_divided = IsDividedAmong(held, service.name_);
  return servers > (was_divided ? max_servers / kMergeDivisor : max_servers);
}

ServersByDomain CountByDomain(const std::string& service,
                              absl::Span<const BackendServer> servers) {
  ServersByDomain counts;
  for (const BackendServer& server : servers) {
    if (server.service_ == service && !server.leaving_) {
      ++counts[server.failure_domain_];
    }
  }
  return counts;
}

void Divide(const PooledService& service,
            const ServersByDomain& counts,
            const PoolAssignment::Owners& held,
            const PoolDivisions& divisions,
            std::vector<PoolPartition>* partitions) {
  size_t all = 0;
  for (const auto& [domain, count] : counts) {
    all += count;
  }
  if (!IsDivided(service, all, held, divisions)) {
    partitions->emplace_back(service.name_);
    return;
  }
  bool has_rest = false;
  for (const auto& [domain, count] : counts) {
    const PoolPartition partition(service.name_, domain);
    if (count >= kMinPartitionServers || held.count(partition) != 0) {
      partitions->push_back(partition);
    } else {
      has_rest = true;
    }
  }
  if (has_rest) {
    partitions->emplace_back(service.name_);
  }
}

}  // namespace

std::vector<PoolPartition> DividePools(absl::Span<const PooledService> services,
                                       absl::Span<const BackendServer> servers,
                                       const PoolAssignment::Owners& held,
                                       const PoolDivisions& divisions) {
  std::vector<PoolPartition> partitions;
  for (const PooledService& service : services) {
    Divide(service, CountByDomain(service.name_, servers), held, divisions,
           &partitions);
  }
  return partitions;
}

bool CanDivide(const PooledService& service,
               absl::Span<const BackendServer> servers) {
  return DividePools({service}, servers, {},
                     {{service.name_, PoolDivision::kDivided}})
             .size() > 1;
}

bool IsDividedAmong(const PoolAssignment::Owners& held,
                    const std::string& service) {
  const auto partitions = PoolAssignment::PartitionsAmong(held, service);
  return std::any_of(partitions.begin(), partitions.end(),
                     [](const PoolPartition& partition) {
                       return partition.IsDomainPartition();
                     });
}

}  // namespace citronlane
