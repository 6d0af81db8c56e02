#ifndef CITRONLANE_REQUEST_ATTEMPT_H_
#define CITRONLANE_REQUEST_ATTEMPT_H_

#include <cstdint>
#include <string>

#include "citronlane/request/call_mode.h"

namespace citronlane {

/// State of one call of a stage, as tracked by its request.
struct Attempt {
  uint32_t stage_ = 0;
  uint32_t number_ = 0;
  /// Number of the attempt whose stream this one reads: its own, except for
  /// kResume.
  uint32_t stream_ = 0;
  CallMode mode_ = CallMode::kFresh;
  bool hedge_ = false;
  bool open_ = true;
  /// A byte of the call may have reached the server.
  bool sent_ = false;
  /// Tokens accepted from it.
  uint64_t tokens_ = 0;
  /// Empty until a server was chosen.
  std::string server_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_ATTEMPT_H_
