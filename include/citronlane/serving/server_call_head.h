#ifndef CITRONLANE_SERVING_SERVER_CALL_HEAD_H_
#define CITRONLANE_SERVING_SERVER_CALL_HEAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a gateway sends to a backend server besides the caller's headers.
struct ServerCallHead {
  Duration time_left_{};
  /// Name of the intended server: any other server at its address refuses.
  std::string server_name_;
  /// Empty when the configuration has no accounts.
  std::string account_;
  /// 0 (first) to 9; engines admit more urgent requests first.
  std::optional<uint32_t> urgency_;
  /// Handles of the stage results that the request needs.
  std::vector<std::string> inputs_;
  /// Number of the event after which a stream is to be continued, if any.
  std::optional<uint64_t> last_event_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVER_CALL_HEAD_H_
