#ifndef CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_
#define CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
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

  /// Asks one node. While a question to it is open with another version, it is
  /// asked again after that.
  void Ask(const std::string& address, uint64_t version);
  void AskAll(uint64_t version);
  /// Asks the nodes whose last answer was to another version, so that each
  /// learns which is in force here.
  void AskUntold(uint64_t version);
  /// Asks `count` nodes but `address`, others each time.
  void AskOthers(const std::string& address, size_t count, uint64_t version);

  void set_peers_hash(uint64_t hash) { peers_hash_ = hash; }

 private:
  struct Question;

  void OnAnswer(const std::string& address, const Question& question, bool ok);

  ControlLink* const link_;
  const Hooks hooks_;
  uint64_t peers_hash_ = 0;
  size_t next_other_ = 0;
  /// Version of the open question to each address.
  std::map<std::string, uint64_t> open_;
  /// Version of the last question that each address answered.
  std::map<std::string, uint64_t> told_;
  /// Version to ask an address with once its question is over.
  std::map<std::string, uint64_t> again_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_DETAIL_LEASE_RENEWER_H_
