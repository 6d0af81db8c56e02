#include "citronlane/transport/detail/http_connection_set.h"

#include "citronlane/base/steady_now.h"
#include "citronlane/transport/detail/http_connection.h"

namespace citronlane::detail {

bool HttpConnectionSet::CloseOne(PlaceNeeded needed,
                                 double bytes_per_second,
                                 const HttpConnection* except) {
  const TimePoint now = SteadyNow();
  HttpConnection* found = nullptr;
  for (HttpConnection* connection : connections_) {
    const ConnectionActivity& activity = connection->activity();
    if (connection != except &&
        MayLosePlace(activity, needed, bytes_per_second, now) &&
        (found == nullptr || LosesPlaceBefore(activity, found->activity(),
                                              bytes_per_second, now)) &&
        connection->IsCloseable()) {
      found = connection;
    }
  }
  if (found == nullptr) {
    return false;
  }
  found->CloseForOther();
  return true;
}

}  // namespace citronlane::detail
