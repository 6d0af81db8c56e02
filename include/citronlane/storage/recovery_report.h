#ifndef CITRONLANE_STORAGE_RECOVERY_REPORT_H_
#define CITRONLANE_STORAGE_RECOVERY_REPORT_H_

#include <string>
#include <vector>

namespace citronlane {

/// Condition of a data folder and the action that it requires.
struct RecoveryReport {
  enum class Finding {
    /// The folder has no data files.
    kEmpty,
    /// The node can start.
    kHealthy,
    /// The node can start; its next start truncates an incomplete write at the
    /// end of the log.
    kTornTail,
    /// Data that may have been synced is damaged or missing: the folder must
    /// not be used again.
    kUntrusted,
  };

  Finding finding_ = Finding::kEmpty;
  /// Explanation for the operator, a sentence per line.
  std::vector<std::string> lines_;
  /// kUntrusted: path to which the folder would be renamed; else empty.
  std::string set_aside_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STORAGE_RECOVERY_REPORT_H_
