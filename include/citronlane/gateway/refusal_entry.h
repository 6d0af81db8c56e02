#ifndef CITRONLANE_GATEWAY_REFUSAL_ENTRY_H_
#define CITRONLANE_GATEWAY_REFUSAL_ENTRY_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/verdict.h"

namespace citronlane {

/// One refusal as recorded in the journal on the control VMs.
struct RefusalEntry {
  std::string id_;
  RefusalReason reason_ = RefusalReason::kInternal;
  Verdict verdict_ = Verdict::kNotRun;
  std::string account_;
  std::string class_name_;
  /// Name of the pipeline or service.
  std::string target_;
  std::string gateway_;
  uint64_t config_version_ = 0;
  /// Unix milliseconds.
  uint64_t time_ms_ = 0;
  std::map<std::string, double> figures_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REFUSAL_ENTRY_H_
