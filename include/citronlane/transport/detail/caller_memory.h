#ifndef CITRONLANE_TRANSPORT_DETAIL_CALLER_MEMORY_H_
#define CITRONLANE_TRANSPORT_DETAIL_CALLER_MEMORY_H_

#include <atomic>
#include <cstdint>

namespace citronlane::detail {

/// Counts the memory of all connections and requests of a listener. Thread
/// safe.
class CallerMemory {
 public:
  /// Adds `bytes`. Returns false, without a change, if more than `limit` would
  /// be in use.
  bool Reserve(uint64_t bytes, uint64_t limit);
  /// Precondition: that many bytes were reserved.
  void Release(uint64_t bytes) { used_ -= bytes; }

  uint64_t used() const { return used_; }

 private:
  std::atomic<uint64_t> used_{0};
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_CALLER_MEMORY_H_
