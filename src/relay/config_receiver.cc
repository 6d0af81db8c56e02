#include "citronlane/relay/config_receiver.h"

#include <string_view>
#include <utility>

#include "citronlane/fleet/document_patch.h"
#include "fleet.pb.h"

namespace citronlane {

bool ConfigReceiver::Take(const wire::fleet::ConfigUpdate& update,
                          Error* error) {
  if (version_ && update.version() <= *version_) {
    error->message_ = "a newer version is held";
    return false;
  }
  if (update.has_base() && version_ != update.base_version()) {
    error->message_ = "its base is not held";
    return false;
  }
  std::string_view base;
  if (update.has_base()) {
    base = document_;
  }
  auto document = DecodeDocument(update.data(), base, error);
  // Either the data is damaged, or the base's content differs from control's.
  if (!document) {
    version_.reset();
    document_.clear();
    return false;
  }
  version_ = update.version();
  document_ = std::move(*document);
  return true;
}

}  // namespace citronlane
