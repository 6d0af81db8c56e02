#ifndef CITRONLANE_STATE_CONFIG_REGISTER_H_
#define CITRONLANE_STATE_CONFIG_REGISTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace citronlane {

/// Replicated state of a fleet that takes its configuration as whole documents
/// under the operator's own version: the highest version committed. Pure and
/// deterministic. Not thread safe.
class ConfigRegister {
 public:
  /// Command that stores a document.
  static std::string Command(uint64_t version, std::string_view document);

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

 private:
  bool is_empty_ = true;
  uint64_t version_ = 0;
  std::string document_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIG_REGISTER_H_
