#ifndef CITRONLANE_RELAY_PEER_GATEWAYS_H_
#define CITRONLANE_RELAY_PEER_GATEWAYS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/types/span.h"
#include "citronlane/base/time.h"

namespace citronlane {

class FleetView;

/// Chooses the gateway to which this one forwards a request that it can't
/// serve: the one with the fewest requests from here, drawn at random among
/// equals. Gateways that stop, are cut off from the servers or have just
/// refused one are left out. Time and randomness are passed in. Not thread
/// safe.
class PeerGateways {
 public:
  /// Returns a random number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t below)>;

  /// `own_endpoint` is the internal endpoint by which `view` lists this
  /// gateway; `view` must outlive the object.
  PeerGateways(std::string own_endpoint,
               const FleetView* view,
               RandomHook random);

  /// Address, "IP:port", for forwarded requests of a gateway that is not in
  /// `tried`; nothing when there is none.
  std::optional<std::string> Choose(absl::Span<const std::string> tried,
                                    TimePoint now) const;
  /// A request is forwarded to the address.
  void OnStart(const std::string& address);
  /// That request has ended. `was_taken` is false if the gateway refused it or
  /// could not be reached.
  void OnEnd(const std::string& address, bool was_taken, TimePoint now);

 private:
  struct Peer {
    size_t in_flight_ = 0;
    TimePoint excluded_until_;
  };

  const std::string own_endpoint_;
  const FleetView* const view_;
  const RandomHook random_;
  std::map<std::string, Peer> peers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_PEER_GATEWAYS_H_
