#ifndef CITRONLANE_FLEET_SERVER_INCARNATIONS_H_
#define CITRONLANE_FLEET_SERVER_INCARNATIONS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

/// Determines the current incarnation of each backend server from server lists
/// that may arrive late or contain a server twice. The newest incarnation is
/// current. If an older one keeps being listed, the server has restarted with a
/// clock that was set back, and the older one becomes current after a delay.
/// Relies on no clock but the reader's. Pure: no I/O. Not thread safe.
class ServerIncarnations {
 public:
  /// Returns the current incarnation of each listed server, in the list's
  /// order. `read` is when the list was read. Call with every list, oldest
  /// first.
  std::vector<BackendServer> Latest(std::vector<BackendServer> servers,
                                    TimePoint read);

  /// Number of servers that the last list showed with an outdated incarnation,
  /// and how many times since construction an older incarnation became current
  /// because a server's clock was set back.
  size_t outdated() const { return outdated_; }
  size_t clocks_set_back() const { return clocks_set_back_; }

 private:
  struct Known {
    BackendServer server_;
    /// Since when only an older incarnation has been listed.
    std::optional<TimePoint> older_since_;
  };

  BackendServer Choose(const BackendServer& listed,
                       Known* known,
                       TimePoint read);

  std::map<std::string, Known> known_;
  size_t outdated_ = 0;
  size_t clocks_set_back_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_SERVER_INCARNATIONS_H_
