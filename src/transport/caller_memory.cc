#include "citronlane/transport/detail/caller_memory.h"

#include <utility>

#include "citronlane/transport/detail/memory_charge.h"

namespace citronlane::detail {

bool CallerMemory::Reserve(uint64_t bytes, uint64_t limit) {
  uint64_t used = used_;
  do {
    if (bytes > limit || used > limit - bytes) {
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + bytes));
  return true;
}

bool MemoryCharge::Resize(uint64_t bytes, uint64_t limit) {
  if (bytes > bytes_) {
    if (!memory_->Reserve(bytes - bytes_, limit)) {
      return false;
    }
  } else {
    memory_->Release(bytes_ - bytes);
  }
  bytes_ = bytes;
  return true;
}

void MemoryCharge::Release() {
  memory_->Release(std::exchange(bytes_, 0));
}

}  // namespace citronlane::detail
