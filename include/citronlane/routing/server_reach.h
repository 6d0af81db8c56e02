#ifndef CITRONLANE_ROUTING_SERVER_REACH_H_
#define CITRONLANE_ROUTING_SERVER_REACH_H_

#include <cstddef>
#include <cstdint>
#include <functional>
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
/// succeed, nothing is probed. Pure: time and randomness are passed in. Not
/// thread safe.
class ServerReach {
 public:
  /// Returns a random number below its argument, which is at least 1.
  using RandomHook = std::function<uint64_t(uint64_t below)>;

  explicit ServerReach(RandomHook random);

  /// A call to a server ended without a reply.
  void OnFailure() { is_suspected_ = true; }
  /// Whether servers should be probed now.
  bool IsRoundDue(TimePoint now) const;
  /// Starts a round: returns the addresses to probe, drawn from those of all
  /// servers. The result of each must be passed to OnProbed(). Precondition:
  /// IsRoundDue().
  std::vector<std::string> StartRound(absl::Span<const std::string> addresses);
  /// A probe of the present round has ended. Returns whether is_cut_off() has
  /// changed. Precondition: a probe is outstanding.
  bool OnProbed(bool is_reached, TimePoint now);

  bool is_cut_off() const { return is_cut_off_; }

 private:
  size_t RoundSize() const;
  bool Conclude(TimePoint now);

  const RandomHook random_;
  bool is_cut_off_ = false;
  bool is_suspected_ = false;
  /// Rounds since the suspicion in which no server was reached.
  size_t failed_rounds_ = 0;
  size_t outstanding_ = 0;
  size_t reached_ = 0;
  size_t round_size_ = 0;
  TimePoint next_round_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_REACH_H_
