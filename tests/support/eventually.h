#ifndef TESTS_SUPPORT_EVENTUALLY_H_
#define TESTS_SUPPORT_EVENTUALLY_H_

#include <functional>

namespace citronlane {

/// Waits for a condition that other threads bring about, for as long as a
/// loaded machine may need. Returns whether it came true.
bool Eventually(const std::function<bool()>& condition);

}  // namespace citronlane

#endif  // TESTS_SUPPORT_EVENTUALLY_H_
