#ifndef CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_
#define CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "citronlane/transport/detail/control_link.h"

namespace citronlane {

/// Sends lease renewals to the control VMs, with at most one in flight per
/// node. Used on the link's thread, on which the hooks are called, too.
class LeaseRenewer {
 public:
  struct Hooks {
    std::function<void(const wire::LeaseReply& reply, TimePoint sent)>
        on_reply_;
    /// A renewal has ended; `answered` if the node replied in time. Called
    /// before on_reply_.
    std::function<void(const std::string& address, bool answered)> on_probe_;
  };

  LeaseRenewer(ControlLink* link, Hooks hooks);

  /// Sends a renewal for `version` to one node. If one for another version is
  /// in flight, this one is sent after it.
  void Renew(const std::string& address, uint64_t version);
  /// Sends a renewal to every node.
  void RenewAtAll(uint64_t version);
  /// Sends a renewal to the nodes that have not replied to a renewal for this
  /// version, so that all nodes know which version is in force at this gateway.
  void RenewAtOutdated(uint64_t version);
  /// Sends a renewal to `count` nodes other than `address`, in rotation.
  void RenewAtOthers(const std::string& address,
                     size_t count,
                     uint64_t version);

  void set_peers_hash(uint64_t hash) { peers_hash_ = hash; }

 private:
  struct Renewal;

  void OnDone(const std::string& address, const Renewal& renewal, bool ok);

  ControlLink* const link_;
  const Hooks hooks_;
  uint64_t peers_hash_ = 0;
  size_t next_other_ = 0;
  /// Version of the renewal in flight to each address.
  std::map<std::string, uint64_t> in_flight_;
  /// Version of the last renewal that each address replied to.
  std::map<std::string, uint64_t> confirmed_versions_;
  /// Version to renew at an address when the renewal in flight has ended.
  std::map<std::string, uint64_t> next_versions_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_
