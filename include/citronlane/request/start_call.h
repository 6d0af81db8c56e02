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
  /// kResume only: the server that must take the call, and the attempt whose
  /// stream it holds.
  std::string server_;
  AttemptId resumed_;
  /// kResume and kContinue: number of the next token.
  uint64_t offset_ = 0;
  /// Servers of all earlier calls of the stage; empty for kResume.
  std::vector<std::string> excluded_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_START_CALL_H_
