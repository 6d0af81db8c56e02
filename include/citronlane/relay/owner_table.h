#ifndef CITRONLANE_RELAY_OWNER_TABLE_H_
#define CITRONLANE_RELAY_OWNER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_part.h"

namespace citronlane {

class FleetView;

/// Which gateway decides for a part of a service's pool: the one that control
/// named. While that one can't be reached, work goes to another part; nobody
/// else takes over its servers. Only a pool that is not divided, or for which
/// nobody is named yet, has a successor that all gateways reckon alike. Pure.
/// Not thread safe.
class OwnerTable {
 public:
  /// `view` outlives the object; `own_endpoint` names this gateway.
  OwnerTable(const FleetView* view, std::string own_endpoint);

  /// This gateway when there is no other.
  std::string OwnerOf(const PoolPart& part, TimePoint now) const;
  /// The part that takes the service's work: the one of `failure_domain`, or
  /// another one that can be reached when that one can't or there is none.
  /// `spread` says which: different values spread over all of them.
  PoolPart PartFor(const std::string& service,
                   const std::string& failure_domain,
                   uint64_t spread,
                   TimePoint now) const;
  /// Whether the part's owner was found lost a moment ago.
  bool IsOut(const PoolPart& part, TimePoint now) const;
  /// The gateway can't be reached: it is passed over for a while.
  void MarkLost(const std::string& endpoint, TimePoint now);

  const std::string& own_endpoint() const { return own_endpoint_; }

 private:
  bool IsPassedOver(const std::string& endpoint, TimePoint now) const;

  const FleetView* const view_;
  const std::string own_endpoint_;
  std::map<std::string, TimePoint> lost_until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_OWNER_TABLE_H_
