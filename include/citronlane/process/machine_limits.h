#ifndef CITRONLANE_PROCESS_MACHINE_LIMITS_H_
#define CITRONLANE_PROCESS_MACHINE_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace citronlane {

/// What this process may use of its machine. Nothing of it is known to be free.
struct MachineLimits {
  /// Physical memory.
  uint64_t memory_bytes_ = 0;
  /// Open descriptors (RLIMIT_NOFILE).
  size_t descriptors_ = 0;
};

/// Reads the limits of this process; those that can't be read are unlimited.
/// Thread safe.
MachineLimits ReadMachineLimits();

}  // namespace citronlane

#endif  // CITRONLANE_PROCESS_MACHINE_LIMITS_H_
