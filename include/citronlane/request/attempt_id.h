#ifndef CITRONLANE_REQUEST_ATTEMPT_ID_H_
#define CITRONLANE_REQUEST_ATTEMPT_ID_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// Identifies one stage call within the entire fleet. Backend servers echo
/// ToHeader() in the header X-Attempt-Id.
struct AttemptId {
  /// "<gateway>-<incarnation>-<counter>", unique within the fleet.
  std::string request_;
  uint32_t stage_ = 0;
  uint32_t attempt_ = 0;

  /// Returns "<request>/<stage>/<attempt>".
  std::string ToHeader() const;
  bool operator==(const AttemptId& other) const;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_ATTEMPT_ID_H_
