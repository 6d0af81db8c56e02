#ifndef CITRONLANE_STATE_CONFIG_PROPOSER_H_
#define CITRONLANE_STATE_CONFIG_PROPOSER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronlane {

class ConfigRegister;

/// Brings operators' documents into the replicated log one at a time. Of those
/// that come meanwhile only the highest version goes next, since it replaces
/// the others: a series costs what its last document changes. Pure but for its
/// hooks. Not thread safe.
class ConfigProposer {
 public:
  /// `reason` says why a document is not known to be committed; it may be.
  using Done =
      std::function<void(bool is_committed, const std::string& reason)>;
  struct Hooks {
    /// Appends a command to the log. Calls `done` later, once the command was
    /// applied here or is not known to be committed, and not within the log's
    /// own calls.
    std::function<void(std::string command, Done done)> propose_;
    /// Whether all VMs that keep the log apply differences.
    std::function<bool()> all_apply_differences_;
  };

  /// `config` is what the log's commands are applied to; it outlives the
  /// object, as the object outlives the hook's calls of `done`.
  ConfigProposer(const ConfigRegister* config, Hooks hooks);

  /// Calls `done` once this version, or one that has replaced it, is committed,
  /// or is not known to be.
  void Submit(uint64_t version, std::string document, Done done);

 private:
  struct Document {
    uint64_t version_ = 0;
    std::string text_;
  };
  struct Caller {
    uint64_t version_ = 0;
    Done done_;
  };

  void Start();
  void Propose(bool may_be_difference);
  void Proposed(bool is_committed, const std::string& reason);
  /// Ends the calls for versions up to this one.
  void Finish(uint64_t version, bool is_committed, const std::string& reason);

  const ConfigRegister* const config_;
  const Hooks hooks_;
  /// In the log, and not known to be committed.
  std::optional<Document> proposed_;
  /// Highest version that came since.
  std::optional<Document> next_;
  std::vector<Caller> callers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIG_PROPOSER_H_
