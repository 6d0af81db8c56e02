#ifndef CITRONLANE_FLEET_CONFIG_FOLLOWER_H_
#define CITRONLANE_FLEET_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/json/value.h"

namespace citronlane {

struct ClusterConfig;
namespace wire {
class ConfigUpdate;
}

/// A gateway's copy of the configuration, built from whole documents and
/// patches. Every version is checked against its digest. Pure. Not thread safe.
class ConfigFollower {
 public:
  ConfigFollower();

  /// Takes an update. Returns the configuration when its version is a new one.
  /// Nothing and an empty reason when there is nothing new; nothing and a
  /// reason when the update does not fit: then ask for the whole document.
  std::shared_ptr<const ClusterConfig> Apply(const wire::ConfigUpdate& update,
                                             Error* error);

  /// Version held; 0 for none.
  uint64_t version() const { return version_; }

 private:
  uint64_t version_ = 0;
  JsonValue root_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_CONFIG_FOLLOWER_H_
