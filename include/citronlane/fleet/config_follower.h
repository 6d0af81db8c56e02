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

/// A node's copy of the configuration, built from full documents and merge
/// patches. The result of each update is checked against the digest that the
/// update carries. Pure: no I/O, no clock. Not thread safe.
class ConfigFollower {
 public:
  ConfigFollower();

  /// Applies an update and returns the new configuration. Returns null with an
  /// empty message in `error` when the update carries no version above the
  /// present one, and null with a reason when the update cannot be applied: the
  /// caller then requests the full document. In both cases the present
  /// configuration stays.
  std::shared_ptr<const ClusterConfig> Apply(const wire::ConfigUpdate& update,
                                             Error* error);

  /// Version of the present configuration; 0 while there is none.
  uint64_t version() const { return version_; }

 private:
  uint64_t version_ = 0;
  JsonValue root_;
};

}  // namespace citronlane

#endif  // CITRONLANE_FLEET_CONFIG_FOLLOWER_H_
