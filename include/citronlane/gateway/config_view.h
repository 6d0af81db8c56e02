#ifndef CITRONLANE_GATEWAY_CONFIG_VIEW_H_
#define CITRONLANE_GATEWAY_CONFIG_VIEW_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace citronlane {

struct AccountConfig;
struct ClusterConfig;

/// One version of the configuration with an index of the client accounts by key
/// digest. Immutable; thread safe.
class ConfigView {
 public:
  /// Precondition: `config` is not null.
  explicit ConfigView(std::shared_ptr<const ClusterConfig> config);

  const std::shared_ptr<const ClusterConfig>& config() const { return config_; }

  /// Returns the client account that a bearer key belongs to, or null. The
  /// account lives as long as config().
  const AccountConfig* FindAccount(std::string_view key) const;

 private:
  const std::shared_ptr<const ClusterConfig> config_;
  std::unordered_map<std::string, const AccountConfig*> by_digest_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CONFIG_VIEW_H_
