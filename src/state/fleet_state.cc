#include "citronlane/state/fleet_state.h"

#include <algorithm>

namespace citronlane {
namespace {

/// First byte of a snapshot with drained domains, which fill the rest of its
/// first line. A snapshot without them is the configuration's alone, which
/// begins with a digit.
constexpr char kDrainedDomainsPrefix = '!';

}  // namespace

FleetState::Change FleetState::Apply(std::string_view command) {
  if (DrainedDomains::IsCommand(command)) {
    return drained_.Apply(command) ? Change::kDrainedDomains : Change::kNothing;
  }
  return config_.Apply(command) ? Change::kConfig : Change::kNothing;
}

std::string FleetState::Snapshot() const {
  const std::string config = config_.Snapshot();
  return drained_.names().empty()
             ? config
             : kDrainedDomainsPrefix + drained_.Snapshot() + '\n' + config;
}

void FleetState::Restore(std::string_view snapshot) {
  std::string_view domains;
  if (!snapshot.empty() && snapshot.front() == kDrainedDomainsPrefix) {
    const size_t end = std::min(snapshot.find('\n'), snapshot.size() - 1);
    domains = snapshot.substr(1, end - 1);
    snapshot.remove_prefix(end + 1);
  }
  drained_.Restore(domains);
  config_.Restore(snapshot);
}

}  // namespace citronlane
