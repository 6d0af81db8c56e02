#ifndef CITRONLANE_GATEWAY_REFUSAL_CONTEXT_H_
#define CITRONLANE_GATEWAY_REFUSAL_CONTEXT_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Whose request is refused, as far as it is known.
struct RefusalContext {
  std::string request_id_;
  std::string account_;
  std::string class_name_;
  /// Pipeline or service.
  std::string target_;
  uint64_t config_version_ = 0;
  /// The request was admitted and failed later.
  bool admitted_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REFUSAL_CONTEXT_H_
