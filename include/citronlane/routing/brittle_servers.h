#ifndef CITRONLANE_ROUTING_BRITTLE_SERVERS_H_
#define CITRONLANE_ROUTING_BRITTLE_SERVERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/call_scope.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Which calls this gateway may send to servers that fall over when they have
/// to refuse more than some calls a second for want of room.
///
/// A server has room for as many calls as it has slots; how many more may wait
/// there is not known. While any server of a service says that it is brittle,
/// the calls in flight at each of its servers are bounded by these slots, which
/// the gateways divide without messages, by the lists that all of them have.
/// Servers may have less room than slots, so that refusals lower the bound, and
/// it rises again with time. Each gateway also has a share of the refusals that
/// a server bears; once that is used up it sends the server nothing for a
/// while.
///
/// Calls in flight are counted at all times. Pure: time is passed in. Not
/// thread safe.
class BrittleServers {
 public:
  /// `gateway` names this gateway as in SetGateways().
  explicit BrittleServers(std::string gateway);

  /// Replaces the gateways that call servers. An empty list changes nothing.
  void SetGateways(std::vector<std::string> gateways);
  /// Replaces the servers. Those that are missing are forgotten, and calls to
  /// them are ignored.
  void SetServers(absl::Span<const BackendServer> servers);
  /// The server says that it falls over when it refuses more calls a second;
  /// nothing: that it does not.
  void SetBrittle(std::string_view server, std::optional<double> max_refusals);

  /// Whether the server may get a call now. True for unknown servers.
  bool MayCall(std::string_view server, CallScope scope, TimePoint now) const;
  /// The servers for which MayCall returns false.
  std::vector<std::string> Full(CallScope scope, TimePoint now) const;
  /// A call is sent to the server. Each is followed by one OnEnd().
  void OnCall(std::string_view server, TimePoint now);
  /// The call has ended. `is_refused`: for want of room.
  void OnEnd(std::string_view server, bool is_refused, TimePoint now);

  /// The gateways that may call no server of a brittle service where there is
  /// no owner, as named in SetGateways(); none for other services.
  std::set<std::string> WithoutPlace(std::string_view service) const;
  /// Whether this gateway is one of them.
  bool LacksPlace(std::string_view service) const;
  /// Whether servers of the service are brittle.
  bool IsBrittle(std::string_view service) const;
  /// Number of servers that say so.
  size_t CountBrittle() const;

 private:
  struct Server {
    std::string service_;
    uint32_t slots_ = 1;
    /// Refusals a second that it says it bears.
    std::optional<double> max_refusals_;
    uint32_t in_flight_ = 0;
    /// When calls were sent and when some were refused, recently.
    std::deque<TimePoint> sent_;
    std::deque<TimePoint> refused_;
    /// Calls in flight that it had room for at its last refusal.
    std::optional<double> learned_room_;
    TimePoint refused_at_;
    /// Gateways that may call it where there is no owner.
    size_t callers_ = 1;
    /// This gateway's part of the slots, without and beside an owner.
    uint32_t share_ = 0;
    uint32_t share_beside_owner_ = 0;
  };
  /// How many refusals by a server are allowed to this gateway in which time.
  struct Allowance {
    double refusals_ = 0;
    Duration window_{};
  };

  using Servers = std::map<std::string, Server, std::less<>>;

  void Divide();
  void DivideService(absl::Span<Servers::value_type* const> servers);
  void UpdateServices();
  void AddSlots(std::string_view server,
                uint32_t added,
                std::vector<uint32_t>* slots) const;
  void AddExtraCallers(absl::Span<Servers::value_type* const> servers,
                       const std::vector<uint32_t>& slots);
  size_t OwnIndex() const;
  uint32_t PartOf(std::string_view server, uint32_t places) const;
  bool MayCall(const Server& server, CallScope scope, TimePoint now) const;
  double RoomOf(const Server& server,
                CallScope scope,
                double max_refusals,
                TimePoint now) const;
  Allowance AllowanceOf(const Server& server,
                        CallScope scope,
                        double max_refusals) const;
  double CallersOf(const Server& server, CallScope scope) const;

  const std::string gateway_;
  std::vector<std::string> gateways_;
  Servers servers_;
  /// Fewest refusals a second that a server of the service bears.
  std::map<std::string, double, std::less<>> brittle_services_;
  /// Gateways without a place, of each brittle service that has some.
  std::map<std::string, std::set<std::string>, std::less<>> without_place_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_BRITTLE_SERVERS_H_
