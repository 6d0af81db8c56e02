#include "citronlane/gateway/config_view.h"

#include <utility>

#include "citronlane/base/sha256.h"
#include "citronlane/config/cluster_config.h"

namespace citronlane {

ConfigView::ConfigView(std::shared_ptr<const ClusterConfig> config)
    : config_(std::move(config)) {
  for (const auto& [name, account] : config_->accounts_) {
    for (const std::string& digest : account.key_digests_) {
      by_digest_.emplace(digest, &account);
    }
  }
}

const AccountConfig* ConfigView::FindAccount(std::string_view key) const {
  const auto found = by_digest_.find(Sha256Hex(key));
  return found == by_digest_.end() ? nullptr : found->second;
}

}  // namespace citronlane
