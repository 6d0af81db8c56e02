#ifndef CITRONLANE_PROCESS_DETAIL_UNIX_TIME_H_
#define CITRONLANE_PROCESS_DETAIL_UNIX_TIME_H_

#include <chrono>
#include <cstdint>

namespace citronlane::detail {

/// Returns the Unix time in milliseconds. Thread safe.
inline uint64_t UnixMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace citronlane::detail

#endif  // CITRONLANE_PROCESS_DETAIL_UNIX_TIME_H_
