#ifndef CITRONLANE_STATE_CONFIG_REGISTER_H_
#define CITRONLANE_STATE_CONFIG_REGISTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"

namespace citronlane {

/// Replicated configuration of a fleet whose operator submits full documents
/// under version numbers of its own: keeps the document of the highest version
/// committed. Deterministic and without I/O. Not thread safe.
class ConfigRegister {
 public:
  /// Returns the command that stores a document, whichever version is held.
  static std::string Command(uint64_t version, std::string_view document);
  /// Returns a command that stores a document by its difference from the one
  /// held here, so that its size depends on what differs. It has no effect
  /// where another version is held. Returns nullopt and sets `error` when the
  /// difference can not be encoded. Precondition: not empty.
  std::optional<std::string> DifferenceCommand(uint64_t version,
                                               std::string_view document,
                                               Error* error) const;

  /// Applies a committed command: stores its document when the version is
  /// higher than the one held. Returns whether it was stored; a malformed
  /// command is not.
  bool Apply(std::string_view command);

  /// Returns the complete state.
  std::string Snapshot() const;
  /// Replaces the state by one that Snapshot returned.
  void Restore(std::string_view snapshot);

  bool is_empty() const { return is_empty_; }
  /// Precondition for both: not empty.
  uint64_t version() const { return version_; }
  const std::string& document() const { return document_; }
  /// Whether this version or a higher one is held.
  bool Holds(uint64_t version) const {
    return !is_empty_ && version_ >= version;
  }

 private:
  bool StoreIfNewer(uint64_t version, std::string document);
  bool StoreDifference(std::string_view command);

  bool is_empty_ = true;
  uint64_t version_ = 0;
  std::string document_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIG_REGISTER_H_
