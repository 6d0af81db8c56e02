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

/// Reads the platform's list of live and leaving VMs. Thread safe.
class VmListClient {
 public:
  using States = std::map<std::string, ServerState>;

  /// `address` is "IP:port" of the platform.
  explicit VmListClient(std::string address);

  /// Asks for the list, at most `limit` long. Nothing and a reason when there
  /// is no list that can be used.
  std::optional<States> Get(Duration limit, Error* error) const;

  /// Reads the body of an answer; a state that is not known counts as live, an
  /// entry without an id is a fault.
  static std::optional<States> Parse(std::string_view body, Error* error);

 private:
  const std::string address_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_VM_LIST_CLIENT_H_
