#ifndef CITRONLANE_REQUEST_REQUEST_HOOKS_H_
#define CITRONLANE_REQUEST_REQUEST_HOOKS_H_

#include <cstdint>
#include <functional>

#include "citronlane/request/retry_reason.h"

namespace citronlane {

/// Budgets a request must ask before it makes an extra call of a stage. Both
/// must be set.
struct RequestHooks {
  std::function<bool(uint32_t stage)> take_hedge_;
  std::function<bool(uint32_t stage, RetryReason reason)> take_retry_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_HOOKS_H_
