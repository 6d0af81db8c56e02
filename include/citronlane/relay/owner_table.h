#ifndef CITRONLANE_RELAY_OWNER_TABLE_H_
#define CITRONLANE_RELAY_OWNER_TABLE_H_

#include <map>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

class FleetView;

/// Which gateway decides for a service: the one that control named, or, while
/// that one can't be reached or is not named yet, the successor that all
/// gateways reckon alike. Pure. Not thread safe.
class OwnerTable {
 public:
  /// `view` outlives the object; `own_endpoint` names this gateway.
  OwnerTable(const FleetView* view, std::string own_endpoint);

  /// This gateway when there is no other.
  std::string OwnerOf(const std::string& service, TimePoint now) const;
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
