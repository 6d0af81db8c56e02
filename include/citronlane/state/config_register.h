#ifndef CITRONLANE_STATE_CONFIG_REGISTER_H_
#define CITRONLANE_STATE_CONFIG_REGISTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// Replicated state of a fleet that takes its configuration as whole documents
/// under the operator's own version: the highest version committed. Pure and
/// deterministic. Not thread safe.
class ConfigRegister {
 public:
  /// Command that stores a document whatever is held.
  static std::string Command(uint64_t version, std::string_view document);
  /// Command that stores a document where the same version is held as here, and
  /// does nothing elsewhere: its size goes with what differs. Nothing, with the
  /// reason, when it can't be made. Precondition: not empty.
  std::optional<std::string> DifferenceCommand(uint64_t version,
                                               std::string_view document,
                                               Error* error) const;

  /// Applies a committed command: kept when its version is higher than the one
  /// held. Returns whether it was kept.
  bool Apply(std::string_view command);

  /// The whole state, and back.
  std::string Snapshot() const;
  void Restore(std::string_view snapshot);

  bool is_empty() const { return is_empty_; }
  /// Precondition for both: not empty.
  uint64_t version() const { return version_; }
  const std::string& document() const { return document_; }
  /// Whether this version, or one that has replaced it, is held.
  bool Holds(uint64_t version) const {
    return !is_empty_ && version_ >= version;
  }

 private:
  bool Keep(uint64_t version, std::string document);
  bool ApplyDifference(std::string_view command);

  bool is_empty_ = true;
  uint64_t version_ = 0;
  std::string document_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIG_REGISTER_H_
