#ifndef CITRONLANE_REQUEST_REQUEST_HOOKS_H_
#define CITRONLANE_REQUEST_REQUEST_HOOKS_H_

#include <cstdint>
#include <functional>

#include "citronlane/request/retry_reason.h"

namespace citronlane {

/// Budgets for a request's extra calls of a stage. Each returns whether the
/// call may be made, and then counts it. Both must be set.
struct RequestHooks {
  std::function<bool(uint32_t stage)> take_hedge_;
  std::function<bool(uint32_t stage, RetryReason reason)> take_retry_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_REQUEST_HOOKS_H_
