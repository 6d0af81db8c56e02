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
  std::optional<std::string> document;
  if (!update.has_base()) {
    document = DecodeDocument(update.data(), std::string_view(), error);
  } else if (version_ == update.base_version()) {
    document = DecodeDocument(update.data(), document_, error);
  } else {
    error->message_ = "its base is not held";
  }
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
