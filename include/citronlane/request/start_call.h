#ifndef CITRONLANE_REQUEST_START_CALL_H_
#define CITRONLANE_REQUEST_START_CALL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "citronlane/request/attempt_id.h"
#include "citronlane/request/call_mode.h"

namespace citronlane {

/// Command: choose a server and call the stage.
struct StartCall {
  AttemptId attempt_;
  CallMode mode_ = CallMode::kFresh;
  bool hedge_ = false;
  /// kResume: the only server that can take the call, and the attempt whose
  /// stream it holds.
  std::string server_;
  AttemptId resumed_;
  /// kResume and kContinue: next token wanted.
  uint64_t offset_ = 0;
  /// Servers that failed or hold the hedged call.
  std::vector<std::string> excluded_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_START_CALL_H_
