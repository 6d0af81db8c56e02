#ifndef CITRONLANE_GATEWAY_REFUSAL_CONTEXT_H_
#define CITRONLANE_GATEWAY_REFUSAL_CONTEXT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// The request that is refused, as far as it was parsed.
struct RefusalContext {
  std::string request_id_;
  std::string account_;
  std::string class_name_;
  /// Name of the pipeline or service.
  std::string target_;
  uint64_t config_version_ = 0;
  /// Whether the request was admitted and failed later.
  bool admitted_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REFUSAL_CONTEXT_H_
