#ifndef CITRONLANE_BENCH_POLICY_ATTEMPT_H_
#define CITRONLANE_BENCH_POLICY_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_shape.h"
#include "policy/backend_call.h"

namespace citronlane {

class ServerModel;

/// A stage call of a request, as tracked by the gateway.
struct Attempt {
  std::shared_ptr<BackendCall> call_;
  ServerModel* server_ = nullptr;
  CallShape shape_;
  TimePoint start_{};
  bool hedge_ = false;
  /// Set when the call ends.
  double cost_ = 0;
  bool first_byte_ = false;
  bool over_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_ATTEMPT_H_
