#include "citronlane/fleet/pool_division.h"

#include <algorithm>
#include <map>
#include <string>

namespace citronlane {
namespace {

/// Most servers of a whole pool. A stage's gateway forms every call to them and
/// hears of every piece; placing a request on an engine is one question.
constexpr size_t kMostStageServers = 24;
constexpr size_t kMostEngines = 96;
/// A divided pool is whole again only with the most divided by this, so that
/// servers that come and go do not divide it again and again.
constexpr size_t kMergeDivisor = 2;
/// A failure domain with fewer servers gets no part: a call waits for one of
/// few servers longer than for one of many.
constexpr size_t kLeastServers = 4;

using ServersByDomain = std::map<std::string, size_t>;

bool IsDivided(const PooledService& service,
               size_t servers,
               const PoolAssignment::Owners& held) {
  const size_t most = service.has_engines_ ? kMostEngines : kMostStageServers;
  const auto parts = PoolAssignment::PartsAmong(held, service.name_);
  const bool was_divided =
      std::any_of(parts.begin(), parts.end(),
                  [](const PoolPart& part) { return part.IsOfDomain(); });
  return servers > (was_divided ? most / kMergeDivisor : most);
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
            std::vector<PoolPart>* parts) {
  size_t all = 0;
  for (const auto& [domain, count] : counts) {
    all += count;
  }
  if (!IsDivided(service, all, held)) {
    parts->emplace_back(service.name_);
    return;
  }
  bool has_rest = false;
  for (const auto& [domain, count] : counts) {
    const PoolPart part(service.name_, domain);
    if (count >= kLeastServers || held.count(part) != 0) {
      parts->push_back(part);
    } else {
      has_rest = true;
    }
  }
  if (has_rest) {
    parts->emplace_back(service.name_);
  }
}

}  // namespace

std::vector<PoolPart> DividePools(absl::Span<const PooledService> services,
                                  absl::Span<const BackendServer> servers,
                                  const PoolAssignment::Owners& held) {
  std::vector<PoolPart> parts;
  for (const PooledService& service : services) {
    Divide(service, CountByDomain(service.name_, servers), held, &parts);
  }
  return parts;
}

}  // namespace citronlane
