#include "citronlane/net/fleet_codec.h"

#include <algorithm>
#include <utility>

#include "fleet.pb.h"

namespace citronlane {

uint64_t InMilliseconds(Duration time) {
  const auto whole =
      std::chrono::duration_cast<std::chrono::milliseconds>(time);
  return whole.count() > 0 ? static_cast<uint64_t>(whole.count()) : 0;
}

Duration FromMilliseconds(uint64_t milliseconds) {
  constexpr uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;
  return std::chrono::milliseconds(std::min(milliseconds, kMaxMilliseconds));
}

void EncodeServers(absl::Span<const BackendServer> servers,
                   wire::fleet::ServerList* out) {
  for (const BackendServer& server : servers) {
    auto* entry = out->add_servers();
    entry->set_id(server.id_);
    entry->set_name(server.name_);
    entry->set_started_ms(server.started_ms_);
    entry->set_service(server.service_);
    entry->set_address(server.address_);
    entry->set_failure_domain(server.failure_domain_);
    entry->set_slots(server.slots_);
    entry->set_leaving(server.leaving_);
    entry->set_cold(server.is_cold_);
    entry->set_version(server.version_);
  }
}

std::vector<BackendServer> DecodeServers(const wire::fleet::ServerList& in) {
  std::vector<BackendServer> servers;
  for (const auto& entry : in.servers()) {
    BackendServer server;
    server.id_ = entry.id();
    server.name_ = entry.name();
    server.started_ms_ = entry.started_ms();
    server.service_ = entry.service();
    server.address_ = entry.address();
    server.failure_domain_ = entry.failure_domain();
    server.slots_ = entry.slots();
    server.leaving_ = entry.leaving();
    server.is_cold_ = entry.cold();
    server.version_ = entry.version();
    servers.push_back(std::move(server));
  }
  return servers;
}

void EncodeOwners(uint64_t number,
                  const PoolAssignment::Owners& owners,
                  wire::fleet::PoolOwners* out) {
  out->set_number(number);
  for (const auto& [part, endpoint] : owners) {
    auto* owner = out->add_owners();
    owner->set_service(part.service_);
    owner->set_failure_domain(part.failure_domain_);
    owner->set_endpoint(endpoint);
  }
}

PoolAssignment::Owners DecodeOwners(const wire::fleet::PoolOwners& in) {
  PoolAssignment::Owners owners;
  for (const auto& owner : in.owners()) {
    owners[PoolPartition(owner.service(), owner.failure_domain())] =
        owner.endpoint();
  }
  return owners;
}

}  // namespace citronlane
