#ifndef CITRONLANE_ROUTING_COLD_SERVERS_H_
#define CITRONLANE_ROUTING_COLD_SERVERS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/cold_server.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/cold_server_spec.h"

namespace citronlane {

/// Finds out from successive server lists which servers are cold: those that
/// the list calls cold, and, since the list is late, each server that is listed
/// for the first time or takes work again. The servers of the first list may
/// have run for long. Pure: time is passed in. Not thread safe.
class ColdServers {
 public:
  /// What cold servers of a service tolerate; null if it declares nothing.
  using SpecHook = std::function<const ColdServerSpec*(const std::string&)>;

  /// Takes a list, with drained servers as leaving. Returns all cold servers.
  std::vector<ColdServer> Update(absl::Span<const BackendServer> servers,
                                 const SpecHook& spec,
                                 TimePoint now);

 private:
  struct Known {
    bool leaving_ = false;
    /// When it was listed first or took work again; at first the epoch.
    TimePoint began_;
    /// Since when the list calls it cold.
    TimePoint cold_since_;
    bool is_cold_ = false;
  };

  bool has_list_ = false;
  std::map<std::string, Known> known_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_COLD_SERVERS_H_
