#ifndef CITRONLANE_RELAY_CONFIG_RECEIVER_H_
#define CITRONLANE_RELAY_CONFIG_RECEIVER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "citronlane/base/error.h"

namespace citronlane {

namespace wire::fleet {
class ConfigUpdate;
}  // namespace wire::fleet

/// Restores the configuration document from the updates that control sends,
/// each a full document or a difference from the one held here. Pure: no I/O.
/// Not thread safe.
class ConfigReceiver {
 public:
  /// Takes an update and returns whether it was applied; if not, `error` has
  /// the reason. The document stays when the update is not newer than it or was
  /// made for another base. When the update cannot be decoded, the document is
  /// dropped, so that control sends the full one.
  bool Take(const wire::fleet::ConfigUpdate& update, Error* error);

  /// Version of the document; nothing when there is none.
  std::optional<uint64_t> version() const { return version_; }
  /// The document; empty when there is none.
  const std::string& document() const { return document_; }

 private:
  std::optional<uint64_t> version_;
  std::string document_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CONFIG_RECEIVER_H_
