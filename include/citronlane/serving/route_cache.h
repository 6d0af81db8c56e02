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

/// Reads the routes of one version of a configuration after the other: a route
/// whose text was there last time is taken over instead of parsed. Pure. Not
/// thread safe.
class RouteCache {
 public:
  /// The route that a JSON object's text declares; nothing when it declares
  /// none.
  using ReadHook = std::function<std::optional<Route>(std::string_view text)>;

  struct Array {
    std::vector<std::shared_ptr<const Route>> routes_;
    /// Behind its closing bracket.
    size_t end_ = 0;
  };

  explicit RouteCache(ReadHook read);

  /// Routes of the JSON array that `text` begins with, in its order. Nothing
  /// when the array can't be split into its elements, or one of them declares
  /// no route; what is known of the last array stays then.
  std::optional<Array> Read(std::string_view text);

 private:
  /// A route by its text.
  struct Known {
    std::string_view text_;
    std::shared_ptr<const Route> route_;
  };

  const Known* FindAt(std::string_view array,
                      size_t begin,
                      size_t expected) const;
  const Known* FindByText(std::string_view text);
  void Keep(std::string_view array, std::vector<Known> known);

  const ReadHook read_;
  /// What the texts of `known_` lie in.
  std::string array_;
  std::vector<Known> known_;
  /// Places in `known_`; filled once an element is not where it was.
  std::unordered_map<std::string_view, size_t> by_text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_ROUTE_CACHE_H_
