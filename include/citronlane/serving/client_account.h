#ifndef CITRONLANE_SERVING_CLIENT_ACCOUNT_H_
#define CITRONLANE_SERVING_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronlane {

/// A client account and the API keys of its callers.
struct ClientAccount {
  std::string name_;
  std::vector<std::string> keys_;
  /// Overrides the route's priority when set.
  std::optional<uint32_t> priority_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_CLIENT_ACCOUNT_H_
