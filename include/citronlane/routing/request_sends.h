#ifndef CITRONLANE_ROUTING_REQUEST_SENDS_H_
#define CITRONLANE_ROUTING_REQUEST_SENDS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

class RepeatBudget;

/// Counts one request for a service, and what one node sends of it; pays for
/// all sends but the first with repeats of the service's budget. Sends are
/// calls to backend servers, or those of a stage's task to owners of its pool.
/// Everything passes OnSending() right before it is sent, so that nothing is
/// repeated without being paid for, whatever the reason. Pure. Not thread safe.
class RequestSends {
 public:
  struct Hooks {
    std::function<TimePoint()> now_;
    /// Number of nodes that share the budget's allowance.
    std::function<size_t()> nodes_;
  };

  /// What other nodes, or this one for an earlier run, did with the request.
  struct Before {
    /// It was counted as a request.
    bool was_counted_ = false;
    /// It was sent to the service, and counted.
    bool was_sent_ = false;
  };

  /// Counts the request, unless it was counted before. `budget` must outlive
  /// the object.
  RequestSends(RepeatBudget* budget, const Before& before, Hooks hooks);
  /// Repeats that servers may not have read yet stay counted.
  ~RequestSends();
  RequestSends(const RequestSends&) = delete;
  RequestSends& operator=(const RequestSends&) = delete;

  /// Whether one more call may be sent: the first one, or one for which a
  /// repeat is left, which is kept for it.
  bool Reserve();
  /// Counts a call to `server`, which is sent now. Returns false if it must not
  /// be sent, since no repeat is left for it.
  bool OnSending(const std::string& server);
  /// The server has read a call, or its connection has ended.
  void OnArrived(const std::string& server);
  /// What was sent last, to `server`, has reached no backend server, nor will
  /// it: the next one takes its place.
  void OnNotSent(const std::string& server);

  /// Calls that were sent by this node.
  size_t sent() const { return sent_; }

 private:
  /// Whether what was sent last is a repeat.
  bool is_repeat() const { return was_sent_ || sent_ > 1; }
  /// Removes a pending call; returns whether there was one.
  bool RemovePending(const std::string& server);

  RepeatBudget* const budget_;
  const bool was_sent_;
  const Hooks hooks_;
  size_t sent_ = 0;
  /// A repeat is kept for the next call.
  bool has_reserved_ = false;
  /// Repeats that were sent and are still open.
  size_t open_ = 0;
  /// Servers of calls that may not have arrived yet.
  std::vector<std::string> pending_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_REQUEST_SENDS_H_
