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

/// One stage call of a request, from the gateway's side.
struct Attempt {
  std::shared_ptr<BackendCall> call_;
  ServerModel* server_ = nullptr;
  CallShape shape_;
  TimePoint start_{};
  bool hedge_ = false;
  /// Known once it is over.
  double cost_ = 0;
  bool first_byte_ = false;
  bool over_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_ATTEMPT_H_
