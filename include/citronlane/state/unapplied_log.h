#ifndef CITRONLANE_STATE_UNAPPLIED_LOG_H_
#define CITRONLANE_STATE_UNAPPLIED_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace citronlane {

/// The commands in a voter's log that it has not applied yet and that lease
/// renewals depend on: configuration changes, and commands that remove gateways
/// from the registry. Without I/O. Not thread safe.
class UnappliedLog {
 public:
  /// Records a command that was appended to the log, committed or not.
  void OnAppended(uint64_t index, std::string_view payload);
  /// Removes the entries from `index` on, which the log truncated.
  void OnTruncated(uint64_t index);
  /// Removes the entries up to `index`, which are applied.
  void OnApplied(uint64_t index);

  /// Returns the newest configuration version in the log, given the applied
  /// one. It may be too high while a change that will be rejected is not
  /// applied; it is never too low.
  uint64_t NewestVersion(uint64_t applied_version) const;

  /// Whether a command in the log removes this incarnation from the registry.
  bool RemovesGateway(std::string_view gateway, uint64_t incarnation) const;

 private:
  struct Item {
    /// Version that a configuration change results in; 0 for other commands.
    uint64_t version_ = 0;
    /// Gateway whose incarnations up to `incarnation_` are removed.
    std::string gateway_;
    uint64_t incarnation_ = 0;
  };

  std::map<uint64_t, Item> items_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_UNAPPLIED_LOG_H_
