#ifndef CITRONLANE_SERVING_SERVER_CALL_HEAD_H_
#define CITRONLANE_SERVING_SERVER_CALL_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a gateway tells a backend server beyond what the caller sent.
struct ServerCallHead {
  Duration time_left_{};
  /// The server that is meant, by its own name: whoever else has its address
  /// refuses.
  std::string server_name_;
  /// Empty when the configuration has no accounts.
  std::string account_;
  /// 0 (first) to 9; engines admit the more urgent request first.
  std::optional<uint32_t> urgency_;
  /// Handles of the stages' results that the request needs.
  std::vector<std::string> inputs_;
  /// Set to go on with a stream behind this event.
  std::optional<uint64_t> last_event_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVER_CALL_HEAD_H_
