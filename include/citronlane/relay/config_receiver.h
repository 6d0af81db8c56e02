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

/// Restores the configuration that control sends as a difference from the one
/// held here. Pure. Not thread safe.
class ConfigReceiver {
 public:
  /// Takes an update. False with the reason when it is not newer than what is
  /// held or made for those who hold something else: that stays. Also when it
  /// can't be restored; then nothing is held any more, so that control sends
  /// the whole document.
  bool Take(const wire::fleet::ConfigUpdate& update, Error* error);

  /// Version of the document held; nothing when there is none.
  std::optional<uint64_t> version() const { return version_; }
  /// Empty when there is none.
  const std::string& document() const { return document_; }

 private:
  std::optional<uint64_t> version_;
  std::string document_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_CONFIG_RECEIVER_H_
