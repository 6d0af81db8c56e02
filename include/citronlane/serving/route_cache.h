#ifndef CITRONLANE_SERVING_ROUTE_CACHE_H_
#define CITRONLANE_SERVING_ROUTE_CACHE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronlane/serving/route.h"

namespace citronlane {

/// Reads the routes of successive versions of a configuration: a route whose
/// text is unchanged is shared with the previous version and not parsed again.
/// Pure: no I/O. Not thread safe.
class RouteCache {
 public:
  /// Parses the text of a JSON object; nothing when it declares no route.
  using ReadHook = std::function<std::optional<Route>(std::string_view text)>;

  struct Array {
    std::vector<std::shared_ptr<const Route>> routes_;
    /// Offset in the text just after the array's closing bracket.
    size_t end_ = 0;
  };

  explicit RouteCache(ReadHook read);

  /// Reads the routes of the JSON array that `text` begins with, in its order.
  /// Returns nothing when the array cannot be split into its elements or an
  /// element declares no route; the cache then stays as it was.
  std::optional<Array> Read(std::string_view text);

 private:
  /// A route and its text.
  struct CachedRoute {
    std::string_view text_;
    std::shared_ptr<const Route> route_;
  };

  const CachedRoute* FindAt(std::string_view array,
                            size_t begin,
                            size_t expected) const;
  const CachedRoute* FindByText(std::string_view text);
  void Store(std::string_view array, std::vector<CachedRoute> cached);

  const ReadHook read_;
  /// Copy of the last array; the texts of `cached_` point into it.
  std::string array_;
  std::vector<CachedRoute> cached_;
  /// Indices into `cached_` by text; built when an element is not at its
  /// expected position.
  std::unordered_map<std::string_view, size_t> by_text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_CACHE_H_
