#ifndef CITRONLANE_STORAGE_RECOVERY_REPORT_H_
#define CITRONLANE_STORAGE_RECOVERY_REPORT_H_

#include <string>
#include <vector>

namespace citronlane {

/// What a data folder holds, and what there is to do about it.
struct RecoveryReport {
  enum class Finding {
    /// Nothing was ever stored.
    kEmpty,
    /// The node can start.
    kHealthy,
    /// The node can start; its next start cuts a write that was not finished.
    kTornTail,
    /// Something that was synced is damaged or gone: the folder must not be
    /// used again.
    kUntrusted,
  };

  Finding finding_ = Finding::kEmpty;
  /// Short sentences for the operator.
  std::vector<std::string> lines_;
  /// kUntrusted: where the folder would be moved, else empty.
  std::string set_aside_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_RECOVERY_REPORT_H_
