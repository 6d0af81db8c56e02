#ifndef CITRONLANE_SERVING_ROUTE_PLACE_H_
#define CITRONLANE_SERVING_ROUTE_PLACE_H_

#include <cstddef>
#include <functional>
#include <string_view>

namespace citronlane {

/// What a route serves: paths of a host that begin with a prefix. The names lie
/// elsewhere.
struct RoutePlace {
  /// For hash tables by place. Thread safe.
  struct Hash {
    size_t operator()(const RoutePlace& place) const {
      // Tells a host and a prefix from the two exchanged.
      constexpr size_t kFactor = 31;
      const std::hash<std::string_view> hash;
      return hash(place.host_) * kFactor + hash(place.prefix_);
    }
  };

  std::string_view host_;
  std::string_view prefix_;

  bool operator==(const RoutePlace& other) const {
    return prefix_ == other.prefix_ && host_ == other.host_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_PLACE_H_
