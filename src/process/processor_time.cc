#include "citronlane/process/processor_time.h"

#include <ctime>

namespace citronlane {

Duration ProcessorTime() {
  timespec used{};
  if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) {
    return Duration();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(used.tv_sec) +
      std::chrono::nanoseconds(used.tv_nsec));
}

}  // namespace citronlane
