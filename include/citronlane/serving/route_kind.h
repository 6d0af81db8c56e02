#ifndef CITRONLANE_SERVING_ROUTE_KIND_H_
#define CITRONLANE_SERVING_ROUTE_KIND_H_

namespace citronlane {

/// What a route's requests are, and so what may be repeated.
enum class RouteKind {
  /// Idempotent.
  kSafe,
  /// Runs at most once.
  kUnsafe,
  /// Answered by a stream of numbered events; runs at most once unless it may
  /// be resumed.
  kStreaming,
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_KIND_H_
