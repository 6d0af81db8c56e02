#ifndef CITRONLANE_FLEET_SERVER_STARTS_H_
#define CITRONLANE_FLEET_SERVER_STARTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Which start of each backend server counts, from lists that may arrive late
/// or hold a server twice. The newest one does; an older one that goes on being
/// listed is a start by a clock that was set back, and counts after a while.
/// Leans on no clock but that of the reader. Pure. Not thread safe.
class ServerStarts {
 public:
  /// Leaves one entry a server in a list that was read at `read`, in the list's
  /// order. Call with each list, oldest first.
  std::vector<BackendServer> Latest(std::vector<BackendServer> servers,
                                    TimePoint read);

  /// Starts taken for earlier ones in the last list, and those that were taken
  /// after all since the beginning: a server's clock went back.
  size_t outdated() const { return outdated_; }
  size_t set_back() const { return set_back_; }

 private:
  struct Known {
    BackendServer server_;
    /// Since when only an earlier start has been listed.
    std::optional<TimePoint> earlier_since_;
  };

  BackendServer Choose(const BackendServer& listed,
                       Known* known,
                       TimePoint read);

  std::map<std::string, Known> known_;
  size_t outdated_ = 0;
  size_t set_back_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_SERVER_STARTS_H_
