#ifndef CITRONLANE_TRANSPORT_VM_LIST_CLIENT_H_
#define CITRONLANE_TRANSPORT_VM_LIST_CLIENT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/server_state.h"

namespace citronlane {

/// Requests the list of running and draining VMs from the platform. Thread
/// safe.
class VmListClient {
 public:
  /// States by VM id.
  using States = std::map<std::string, ServerState>;

  /// `address` is "IP:port" of the platform.
  explicit VmListClient(std::string address);

  /// Requests the list once and blocks until it is received, for `limit` at
  /// most. Returns nothing and sets `error` if there is no valid list or it
  /// exceeds StageLimits::reply_body_bytes_.
  std::optional<States> Get(Duration limit, Error* error) const;

  /// Parses the body of a reply. An unknown state counts as running. An entry
  /// without id or state, or with an invalid incarnation, is an error.
  static std::optional<States> Parse(std::string_view body, Error* error);

 private:
  const std::string address_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_VM_LIST_CLIENT_H_
