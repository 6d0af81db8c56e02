#ifndef CITRONLANE_SERVING_ROUTE_KIND_H_
#define CITRONLANE_SERVING_ROUTE_KIND_H_

namespace citronlane {

/// Kind of a route's requests, which determines what may be repeated.
enum class RouteKind {
  /// Idempotent requests.
  kSafe,
  /// Requests that run at most once.
  kUnsafe,
  /// Requests with a stream of numbered events as the response; they run at
  /// most once unless the route is resumable.
  kStreaming,
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_KIND_H_
