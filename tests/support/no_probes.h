#ifndef CITRONLANE_TESTS_SUPPORT_NO_PROBES_H_
#define CITRONLANE_TESTS_SUPPORT_NO_PROBES_H_

#include <functional>
#include <string>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/relay/reach_watch.h"
#include "citronlane/routing/server_reach.h"

namespace citronlane {

/// Hooks of a ReachWatch that knows no servers and so probes none.
inline ReachWatch::Hooks NoProbes() {
  ReachWatch::Hooks hooks;
  hooks.addresses_ = [] { return std::vector<std::string>(); };
  hooks.probe_ = [](const std::string&,
                    const std::function<void(ServerReach::ProbeResult)>&) {};
  hooks.changed_ = [] {};
  hooks.now_ = SteadyNow;
  return hooks;
}

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_NO_PROBES_H_
