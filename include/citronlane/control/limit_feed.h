#ifndef CITRONLANE_CONTROL_LIMIT_FEED_H_
#define CITRONLANE_CONTROL_LIMIT_FEED_H_

#include <cstdint>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/server_limits.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

namespace wire::fleet {
class ServerLimits;
class WatchUpdate;
}  // namespace wire::fleet

/// Control's part in keeping the limits that backend servers name: passes on to
/// all gateways what one of them has observed. Makes no calls; time is passed
/// in. Not thread safe.
class LimitFeed {
 public:
  LimitFeed();

  /// Takes what a gateway observed.
  void Take(const wire::fleet::ServerLimits& limits, TimePoint now);
  /// Forgets servers that are not listed.
  void Retain(absl::Span<const BackendServer> servers);

  /// Call when this VM becomes the leader: forgets everything, since gateways
  /// report what they know to a new leader.
  void StartLeading();

  /// Adds what was recorded after the limits numbered `sent`. Returns the
  /// number up to which the gateway has them after the update; 0 is a gateway
  /// that has none.
  uint64_t AddTo(uint64_t sent,
                 TimePoint now,
                 wire::fleet::WatchUpdate* update) const;

 private:
  /// Used for what servers said, not for allowances.
  ServerLimits limits_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_LIMIT_FEED_H_
