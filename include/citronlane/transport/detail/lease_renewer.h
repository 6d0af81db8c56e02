#ifndef CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_
#define CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "citronlane/transport/detail/control_link.h"

namespace citronlane {

/// Asks control VMs to renew the lease, one question at a time each. Used on
/// the link's thread, which also runs the hooks.
class LeaseRenewer {
 public:
  struct Hooks {
    std::function<void(const wire::LeaseReply& reply, TimePoint sent)>
        on_reply_;
    /// Whether the node at the address answered in time.
    std::function<void(const std::string& address, bool answered)> on_probe_;
  };

  LeaseRenewer(ControlLink* link, Hooks hooks);

  /// Asks one node, unless a question to it is still open.
  void Ask(const std::string& address, uint64_t version);
  void AskAll(uint64_t version);

  void set_peers_hash(uint64_t hash) { peers_hash_ = hash; }

 private:
  struct Question;

  ControlLink* const link_;
  const Hooks hooks_;
  uint64_t peers_hash_ = 0;
  std::set<std::string> open_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_
