#ifndef CITRONLANE_TRANSPORT_DETAIL_MEMORY_CHARGE_H_
#define CITRONLANE_TRANSPORT_DETAIL_MEMORY_CHARGE_H_

#include <cstdint>

namespace citronlane::detail {

class CallerMemory;

/// Bytes that one connection has reserved; released by the destructor. Not
/// thread safe.
class MemoryCharge {
 public:
  /// `memory` must outlive the charge.
  explicit MemoryCharge(CallerMemory* memory) : memory_(memory) {}
  ~MemoryCharge() { Release(); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  /// Changes the reservation to `bytes`. Returns false, without a change, if it
  /// grows and more than `limit` would be in use by all.
  bool Resize(uint64_t bytes, uint64_t limit);
  void Release();

  uint64_t bytes() const { return bytes_; }

 private:
  CallerMemory* const memory_;
  uint64_t bytes_ = 0;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_MEMORY_CHARGE_H_
