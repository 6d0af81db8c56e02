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

/// Bounded queue of refusals that wait to be sent to the journal. When it is
/// full, the oldest entry is dropped; refusals that the caller caused (reasons
/// 1xx and 2xx) are dropped once it is half full. Every drop is counted. Thread
/// safe.
class RefusalBacklog {
 public:
  /// Sends a batch and the number dropped since the last batch; returns whether
  /// the control VMs have recorded both. May block.
  using SendHook =
      std::function<bool(const std::vector<RefusalEntry>&, uint64_t)>;

  /// `bound` is the maximum number of entries.
  RefusalBacklog(size_t bound, SendHook send);

  void Add(const RefusalEntry& entry);

  /// Sends all entries in batches and returns true, or stops at the first batch
  /// that could not be sent, keeps it and returns false. Call from one thread
  /// at a time.
  bool Flush();

  size_t size() const;
  /// Total number of refusals dropped.
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
