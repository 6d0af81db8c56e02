#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_SET_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_SET_H_

#include <unordered_set>

#include "citronlane/transport/connection_activity.h"

namespace citronlane::detail {

class HttpConnection;

/// Open connections of one thread; accessed on that thread only.
class HttpConnectionSet {
 public:
  void Insert(HttpConnection* connection) { connections_.insert(connection); }
  void Erase(HttpConnection* connection) { connections_.erase(connection); }

  /// Closes the connection whose caller stalls most, other than `except`, and
  /// returns true; false if none may lose its place. `bytes_per_second` is the
  /// rate that callers must reach while a request arrives.
  bool CloseOne(PlaceNeeded needed,
                double bytes_per_second,
                const HttpConnection* except);

  auto begin() const { return connections_.begin(); }
  auto end() const { return connections_.end(); }

 private:
  std::unordered_set<HttpConnection*> connections_;
};

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_CONNECTION_SET_H_
