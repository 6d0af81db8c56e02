#include "citronlane/process/allocator.h"

#include <malloc.h>

namespace citronlane {

void ReturnLargeBlocks() {
  // Setting a threshold ends its automatic growth.
  constexpr int kLargeBytes = 256 * 1024;
  constexpr int kKeptBytes = 1024 * 1024;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

}  // namespace citronlane
