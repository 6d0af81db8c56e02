#ifndef TESTS_SUPPORT_EVENTUALLY_H_
#define TESTS_SUPPORT_EVENTUALLY_H_

#include <functional>

namespace citronlane {

/// Polls a condition that other threads make true, with a timeout long enough
/// for a loaded machine. Returns whether it became true.
bool Eventually(const std::function<bool()>& condition);

}  // namespace citronlane

#endif  // TESTS_SUPPORT_EVENTUALLY_H_
