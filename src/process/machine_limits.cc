#include "citronlane/process/machine_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <limits>

namespace citronlane {

MachineLimits ReadMachineLimits() {
  MachineLimits limits{std::numeric_limits<uint64_t>::max(),
                       std::numeric_limits<size_t>::max()};
  const int64_t pages = ::sysconf(_SC_PHYS_PAGES);
  const int64_t page_bytes = ::sysconf(_SC_PAGE_SIZE);
  if (pages > 0 && page_bytes > 0) {
    limits.memory_bytes_ =
        static_cast<uint64_t>(pages) * static_cast<uint64_t>(page_bytes);
  }
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 &&
      descriptors.rlim_cur != RLIM_INFINITY) {
    limits.descriptors_ = descriptors.rlim_cur;
  }
  return limits;
}

}  // namespace citronlane
