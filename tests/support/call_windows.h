#ifndef CITRONLANE_TESTS_SUPPORT_CALL_WINDOWS_H_
#define CITRONLANE_TESTS_SUPPORT_CALL_WINDOWS_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// Returns the most calls within any window of this length. Thread safe.
inline size_t MostInAWindow(std::vector<TimePoint> calls, Duration window) {
  std::sort(calls.begin(), calls.end());
  size_t most = 0;
  for (auto first = calls.begin(); first != calls.end(); ++first) {
    const auto last = std::lower_bound(first, calls.end(), *first + window);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_CALL_WINDOWS_H_
