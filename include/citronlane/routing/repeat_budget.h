#ifndef CITRONLANE_ROUTING_REPEAT_BUDGET_H_
#define CITRONLANE_ROUTING_REPEAT_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

/// Bounds the requests that one node repeats (sends again) to a service within
/// any time window: a fraction of the requests that it has for the service,
/// plus an equal share of an allowance common to all nodes. The bounds of all
/// nodes add up to less than the common bound however traffic moves among them,
/// since each node counts only its own requests.
///
/// A repeat counts from the time at which it is taken until it has arrived, and
/// for a window after that: a server that stands still reads what was sent to
/// it only when it goes on.
///
/// A node that has counted for less than a window may be the next incarnation
/// of one that has used up its share: until then it has none of the allowance
/// and a smaller fraction of its own requests. Time is passed in. Not thread
/// safe.
class RepeatBudget {
 public:
  struct Options {
    /// Repeats for each first request.
    double ratio_ = 0.1;
    /// Allowance in repeats per window, over all nodes.
    double extra_ = 0;
    Duration window_ = std::chrono::seconds(10);
  };

  /// What was counted since construction, for metrics.
  struct Totals {
    uint64_t first_sends_ = 0;
    /// Repeats that are no longer open.
    uint64_t repeats_ = 0;
    /// Repeats that were not available.
    uint64_t denied_ = 0;
  };

  /// `counted_since` is when this node began to count: what it sent before, it
  /// does not know.
  RepeatBudget(const Options& options, TimePoint counted_since);

  /// Another node may have sent this node's share of repeats until `now`:
  /// counts anew from then on. What this node has sent stays counted.
  void Restart(TimePoint now) { counted_since_ = now; }
  /// The process ends soon: leaves the allowance to the one that follows it.
  void EndShare() { has_share_ = false; }
  /// Counts a request for the service: once in the whole fleet, whether it is
  /// sent or not.
  void OnFirstSend(TimePoint now);

  /// Takes one repeat that arrives at once; false when none is left. `nodes` is
  /// the number of nodes that share the allowance; 0 counts as 1.
  bool TryTake(TimePoint now, size_t nodes);
  /// Takes one repeat, which is open until one of the next three calls.
  bool TryOpen(TimePoint now, size_t nodes);
  /// An open repeat was not sent, nor will be.
  void CancelOpen();
  /// An open repeat has arrived, or never will.
  void SettleOpen(TimePoint now);
  /// An open repeat was given up while `server` was silent: it may arrive when
  /// the server goes on.
  void SettleOpenLate(const std::string& server, TimePoint now);

  /// The server reads what it is sent.
  void OnSignOfLife(std::string_view server, TimePoint now);
  /// Settles what may arrive late at servers for which `is_listed` is false.
  void RetainServers(const std::function<bool(std::string_view)>& is_listed,
                     TimePoint now);

  /// Repeats that count now, and requests sent for the first time within the
  /// window that ends at `now`.
  size_t repeats(TimePoint now);
  size_t first_sends(TimePoint now);
  /// Repeats among them that may arrive late.
  size_t late() const;
  /// Repeats that this node may count at `now`.
  double Bound(TimePoint now, size_t nodes);
  const Totals& totals() const { return totals_; }
  /// For how long this node has counted.
  Duration CountedFor(TimePoint now) const { return now - counted_since_; }

 private:
  void Expire(TimePoint now);

  const Options options_;
  TimePoint counted_since_;
  bool has_share_ = true;
  std::deque<TimePoint> first_;
  size_t open_ = 0;
  /// When repeats were settled.
  std::deque<TimePoint> settled_;
  /// When repeats that may arrive late were given up, by server.
  std::map<std::string, std::deque<TimePoint>, std::less<>> late_;
  Totals totals_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_REPEAT_BUDGET_H_
