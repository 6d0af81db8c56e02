#ifndef CITRONLANE_STATE_UNAPPLIED_LOG_H_
#define CITRONLANE_STATE_UNAPPLIED_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace citronlane {

/// What a voter has in its log beyond what it has applied, as far as lease
/// renewals depend on it: configuration changes and gateways on their way out
/// of the registry. Pure. Not thread safe.
class UnappliedLog {
 public:
  /// A command entered the log, committed or not.
  void OnAppended(uint64_t index, std::string_view payload);
  /// Entries from `index` on left the log.
  void OnTruncated(uint64_t index);
  /// Everything up to `index` is applied.
  void OnApplied(uint64_t index);

  /// Returns the newest version in the log, given the applied one. May be too
  /// high while a change that will lose is not applied; never too low.
  uint64_t NewestVersion(uint64_t applied_version) const;

  /// Whether the log takes this incarnation out of the registry.
  bool Forgets(std::string_view gateway, uint64_t incarnation) const;

 private:
  struct Item {
    /// Version a change leads to; 0 for other commands.
    uint64_t version_ = 0;
    /// Gateway whose incarnations up to `incarnation_` go.
    std::string gateway_;
    uint64_t incarnation_ = 0;
  };

  std::map<uint64_t, Item> items_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_UNAPPLIED_LOG_H_
