#ifndef CITRONLANE_ROUTING_SERVER_LIMITS_H_
#define CITRONLANE_ROUTING_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/brittle_servers.h"
#include "citronlane/routing/call_scope.h"
#include "citronlane/routing/cold_server.h"
#include "citronlane/routing/server_limit.h"

namespace citronlane {

/// The rates of requests that backend servers have said they take from all
/// gateways together, and what this gateway may still send them.
///
/// A limit is divided into slots, points in time at equal intervals; a call
/// needs one that began within the last half second. Unused slots expire, so
/// that gateways whose callers all come back at once don't send what they
/// saved. Slots of different gateways are spread over the interval.
///
/// An owner may take a slot for a call that is sent later. It then bounds the
/// calls sent within some seconds as well, since calls with slots taken at
/// different times may be sent together.
///
/// A cold server has a limit, too, without naming one; it holds in each second.
/// Of two limits of a server the lower one counts.
///
/// Servers may also say that they are brittle. BrittleServers then bounds the
/// calls in flight, whether or not they have a limit.
///
/// A limit holds until the server replies without one. Of two observations the
/// later one counts, whoever made it. Pure: time is passed in. Not thread safe.
class ServerLimits {
 public:
  /// Whose calls share a limit.
  using Scope = CallScope;

  /// `gateway` names this gateway; it selects the positions of its slots.
  explicit ServerLimits(std::string gateway);

  /// Records what a server said. Returns whether that has changed.
  bool Observe(const ServerLimit& limit);
  /// Replaces the cold servers.
  void SetCold(absl::Span<const ColdServer> servers, TimePoint now);
  /// Replaces the servers, for the bounds on calls to brittle ones.
  void SetServers(absl::Span<const BackendServer> servers);
  /// Forgets servers for which `exists` returns false.
  void Retain(const std::function<bool(std::string_view server)>& exists);

  /// Whether the server may get a call now. `gateways` is the number that share
  /// its limit; 0 counts as 1.
  bool MayCall(std::string_view server,
               Scope scope,
               size_t gateways,
               TimePoint now) const;
  /// A call is sent to the server. It ends with OnEnd(), as does one of
  /// OnReservedCall().
  void OnCall(std::string_view server, TimePoint now);
  /// Takes a slot for a call that is sent later, if it is sent at all. For the
  /// scope kOwner only. Precondition: MayCall() returned true.
  void Reserve(std::string_view server, TimePoint now);
  /// Whether a call with a reserved slot may be sent now. False for a server
  /// without a limit: such a call needs no slot.
  bool MayCallReserved(std::string_view server, TimePoint now) const;
  /// A call with a reserved slot is sent to the server.
  void OnReservedCall(std::string_view server, TimePoint now);
  /// The call has ended. `is_refused`: for want of room.
  void OnEnd(std::string_view server, bool is_refused, TimePoint now);
  /// The servers for which MayCall returns false.
  std::vector<std::string> Exhausted(Scope scope,
                                     size_t gateways,
                                     TimePoint now) const;

  /// Servers with a limit that may be called now, and that this gateway has not
  /// called for so long that all gateways together may have sent nothing for a
  /// second: without a call nobody learns that the limit has ended.
  std::vector<std::string> Unobserved(Scope scope,
                                      size_t gateways,
                                      TimePoint now) const;

  /// The latest observation of each server that was recorded after number()
  /// had this value; limits that have ended included.
  std::vector<ServerLimit> RecordedSince(uint64_t number) const;
  /// Rises with each observation recorded.
  uint64_t number() const { return number_; }
  /// Whether the server has a limit, or is cold.
  bool IsLimited(std::string_view server, TimePoint now) const;
  /// Number of servers that name a limit.
  size_t CountLimited() const;
  /// What brittle servers have room for. The caller provides the gateways.
  BrittleServers* brittle() { return &brittle_; }
  const BrittleServers& brittle() const { return brittle_; }
  /// Number of cold servers.
  size_t CountCold(TimePoint now) const;

 private:
  struct State {
    std::optional<double> per_second_;
    /// See ServerLimit.
    std::optional<double> max_refusals_;
    /// Limit while it is cold.
    double cold_per_second_ = 0;
    TimePoint cold_until_;
    /// When the limit was last observed, and when it began.
    TimePoint observed_;
    TimePoint began_;
    /// Of its latest observation.
    uint64_t number_ = 0;
    /// When slots were taken and when calls were sent, recently.
    std::deque<TimePoint> taken_;
    std::deque<TimePoint> sent_;
    TimePoint last_sent_;
  };

  bool MayCall(std::string_view server,
               const State& state,
               Scope scope,
               size_t gateways,
               TimePoint now) const;
  static bool IsCold(const State& state, TimePoint now) {
    return now < state.cold_until_;
  }
  /// The lower one of its limits; nothing if it has none.
  static std::optional<double> LimitOf(const State& state, TimePoint now);
  static bool IsWithinSentBound(const State& state, TimePoint now);
  State* FindLimited(std::string_view server, TimePoint now);

  const std::string gateway_;
  std::map<std::string, State, std::less<>> servers_;
  BrittleServers brittle_;
  uint64_t number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_LIMITS_H_
