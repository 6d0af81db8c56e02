#ifndef CITRONLANE_SERVING_ROUTE_KEY_H_
#define CITRONLANE_SERVING_ROUTE_KEY_H_

#include <cstddef>
#include <functional>
#include <string_view>

namespace citronlane {

/// Key of a route: a host and a path prefix. The strings are owned elsewhere.
struct RouteKey {
  /// Hash for hash tables. Thread safe.
  struct Hash {
    size_t operator()(const RouteKey& key) const {
      // Makes the hash depend on the order of host and prefix.
      constexpr size_t kHashMultiplier = 31;
      const std::hash<std::string_view> hash;
      return hash(key.host_) * kHashMultiplier + hash(key.prefix_);
    }
  };

  std::string_view host_;
  std::string_view prefix_;

  bool operator==(const RouteKey& other) const {
    return prefix_ == other.prefix_ && host_ == other.host_;
  }
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_KEY_H_
