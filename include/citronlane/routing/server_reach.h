#ifndef CITRONLANE_ROUTING_SERVER_REACH_H_
#define CITRONLANE_ROUTING_SERVER_REACH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"

namespace citronlane {

/// Finds out whether this node has lost its links to all backend servers. A
/// failed call alone does not show that: its server may have ended. So after a
/// failure it requests probes, first of one server and, if that fails, of
/// several in two rounds. When none of them can be reached, the node is cut
/// off; probes then go on until servers can be reached again. While calls
/// succeed, nothing is probed. Links may also lose all data without any error,
/// so a call is taken for failed when no server replies to any call for a
/// while. Pure: time and randomness are passed in. Not
/// thread safe.
///
/// A connection that is taken shows little, since a link may take connections
/// and reset them late, or lose all that is sent. It counts only if its server
/// has replied to a call since the failure: it is slow then.
class ServerReach {
 public:
  /// Returns a random number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t below)>;

  enum class ProbeResult {
    /// The server replied.
    kReplied,
    /// The connection was taken and stayed open, without a reply.
    kOpen,
    /// No connection was made, or it was closed.
    kFailed,
  };

  explicit ServerReach(RandomHook random);

  /// A call to a server ended without a reply, or within it.
  void OnFailure();
  /// A call is being sent to a server.
  void OnCall(TimePoint now);
  /// A reply to a call, or a part of one, has arrived from the server.
  void OnReply(const std::string& address);
  /// Whether servers should be probed now.
  bool IsRoundDue(TimePoint now) const;
  /// Starts a round: returns the addresses to probe, drawn from those of all
  /// servers. The result of each must be passed to OnProbed(). Precondition:
  /// IsRoundDue().
  std::vector<std::string> StartRound(absl::Span<const std::string> addresses);
  /// The probe of a server of the present round has ended. Returns whether
  /// is_cut_off() has changed. Precondition: a probe is outstanding.
  bool OnProbed(const std::string& address, ProbeResult result, TimePoint now);

  bool is_cut_off() const { return is_cut_off_; }

 private:
  bool IsSilent(TimePoint now) const;
  size_t RoundSize() const;
  bool IsReached(const std::string& address, ProbeResult result) const;
  bool Conclude(TimePoint now);
  /// Ends a suspicion, or a round during a cut.
  void Settle(TimePoint now);

  const RandomHook random_;
  bool is_cut_off_ = false;
  bool is_suspected_ = false;
  /// First call since the last reply of any server; nothing if there is none.
  std::optional<TimePoint> unanswered_since_;
  /// Servers that have replied to calls since the suspicion.
  std::set<std::string> repliers_;
  /// Rounds since the suspicion in which no server was reached.
  size_t failed_rounds_ = 0;
  size_t outstanding_ = 0;
  size_t reached_ = 0;
  size_t round_size_ = 0;
  TimePoint next_round_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_REACH_H_
