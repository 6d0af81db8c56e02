#include "citronlane/control/detail/replica_peers.h"

#include <utility>

namespace citronlane {

ReplicaPeers::ReplicaPeers(
    uint64_t own_id,
    std::string own_address,
    std::shared_ptr<grpc::ChannelCredentials> credentials)
    : own_id_(own_id),
      own_address_(std::move(own_address)),
      credentials_(std::move(credentials)) {}

void ReplicaPeers::Learn(uint64_t id, std::string address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  learned_[id] = std::move(address);
}

std::string ReplicaPeers::AddressOf(uint64_t id, const Membership& membership) {
  for (const auto* nodes : {&membership.voters_, &membership.learners_}) {
    if (const auto it = nodes->find(id); it != nodes->end()) {
      return it->second;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = learned_.find(id);
  return it == learned_.end() ? "" : it->second;
}

ReplicationPeer& ReplicaPeers::Get(uint64_t id, const std::string& address) {
  Connection& connection = connections_[id];
  if (!connection.peer_ || connection.address_ != address) {
    connection.address_ = address;
    connection.peer_ = std::make_unique<ReplicationPeer>(own_id_, own_address_,
                                                         address, credentials_);
  }
  return *connection.peer_;
}

void ReplicaPeers::Send(TimePoint now,
                        const Membership& membership,
                        std::vector<Message> messages) {
  std::map<uint64_t, std::vector<Message>> by_node;
  for (Message& message : messages) {
    by_node[message.to_].push_back(std::move(message));
  }
  for (auto& [id, batch] : by_node) {
    const std::string address = AddressOf(id, membership);
    if (!address.empty()) {
      Get(id, address).Send(now, std::move(batch));
    }
  }
}

}  // namespace citronlane
