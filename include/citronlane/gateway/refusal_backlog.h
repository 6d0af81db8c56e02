#ifndef CITRONLANE_GATEWAY_REFUSAL_BACKLOG_H_
#define CITRONLANE_GATEWAY_REFUSAL_BACKLOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "citronlane/gateway/refusal_entry.h"

namespace citronlane {

/// Refusals on their way to the journal: bounded, oldest dropped first, every
/// drop counted. Refusals of bad input take at most half of the room. Thread
/// safe.
class RefusalBacklog {
 public:
  /// Sends a batch with the number dropped; returns whether control has it.
  using SendHook =
      std::function<bool(const std::vector<RefusalEntry>&, uint64_t)>;

  RefusalBacklog(size_t bound, SendHook send);

  void Add(const RefusalEntry& entry);

  /// Sends all that waits, batch by batch; what could not be sent stays. One
  /// thread at a time calls it. Returns whether nothing is left.
  bool Flush();

  size_t size() const;
  uint64_t dropped() const;

 private:
  std::vector<RefusalEntry> TakeBatch(uint64_t* dropped);
  void PutBack(std::vector<RefusalEntry> batch, uint64_t dropped);

  const size_t bound_;
  const SendHook send_;
  mutable std::mutex mutex_;
  std::deque<RefusalEntry> entries_;
  uint64_t dropped_unsent_ = 0;
  uint64_t dropped_total_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REFUSAL_BACKLOG_H_
