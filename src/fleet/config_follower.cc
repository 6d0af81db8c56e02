#include "citronlane/fleet/config_follower.h"

#include <optional>
#include <utility>
#include <vector>

#include "citronlane/base/sha256.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/json/fault.h"
#include "citronlane/json/parse.h"
#include "citronlane/state/canonical_json.h"
#include "control.pb.h"

namespace citronlane {

ConfigFollower::ConfigFollower() : root_(JsonValue::Object()) {}

std::shared_ptr<const ClusterConfig> ConfigFollower::Apply(
    const wire::ConfigUpdate& update,
    Error* error) {
  error->message_.clear();
  const bool is_full = !update.document().empty();
  if (update.version() <= version_ || (!is_full && update.patch().empty())) {
    return nullptr;
  }
  if (!is_full && update.base_version() != version_) {
    error->message_ = "The patch applies to version " +
                      std::to_string(update.base_version()) + ", but version " +
                      std::to_string(version_) + " is held.";
    return nullptr;
  }
  Fault fault;
  std::optional<JsonValue> sent =
      ParseJson(is_full ? update.document() : update.patch(), &fault);
  if (!sent) {
    error->message_ = "The update is not valid JSON: " + fault.message_;
    return nullptr;
  }
  JsonValue root = is_full ? JsonValue::Object() : root_;
  ApplyMergePatch(*sent, &root);
  root = SortMembers(root);
  const std::string document = WriteJson(root);
  if (Sha256Hex(document) != update.digest()) {
    error->message_ = "The document does not match its digest.";
    return nullptr;
  }
  std::vector<Fault> faults;
  std::optional<ClusterConfig> config =
      ParseClusterConfig(document, update.version(), &faults);
  if (!config) {
    error->message_ = "The document is not a valid configuration.";
    return nullptr;
  }
  root_ = std::move(root);
  version_ = update.version();
  return std::make_shared<const ClusterConfig>(*std::move(config));
}

}  // namespace citronlane
