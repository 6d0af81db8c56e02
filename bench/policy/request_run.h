#ifndef CITRONLANE_BENCH_POLICY_REQUEST_RUN_H_
#define CITRONLANE_BENCH_POLICY_REQUEST_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/admission/admission_query.h"
#include "citronlane/base/time.h"
#include "policy/attempt.h"
#include "policy/request_spec.h"

namespace citronlane {

/// A request in flight at a gateway.
struct RequestRun {
  const RequestSpec* spec_ = nullptr;
  bool measured_ = false;
  AdmissionQuery query_;
  size_t stage_ = 0;
  /// Increases with each stage, so that timers of earlier stages can be
  /// ignored.
  uint32_t calls_ = 0;
  std::vector<std::shared_ptr<Attempt>> attempts_;
  std::vector<std::string> tried_;
  uint32_t tokens_done_ = 0;
  std::optional<TimePoint> first_token_;
  double cost_ = 0;
  Duration engine_time_{};
  bool over_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_BENCH_POLICY_REQUEST_RUN_H_
