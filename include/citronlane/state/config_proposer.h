#ifndef CITRONLANE_STATE_CONFIG_PROPOSER_H_
#define CITRONLANE_STATE_CONFIG_PROPOSER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronlane {

class ConfigRegister;

/// Proposes operators' documents to the replicated log, one at a time. Of the
/// documents submitted in the meantime only the one of the highest version is
/// proposed next, since it replaces the others: a burst of documents costs the
/// log only what the last one changes. All I/O is done by the hooks. Not thread
/// safe.
class ConfigProposer {
 public:
  /// Result of a submission. When `is_committed` is false, `reason` is why
  /// the document is not known to be committed; it may be committed later.
  using Done =
      std::function<void(bool is_committed, const std::string& reason)>;
  struct Hooks {
    /// Appends a command to the log. Calls `done` later and not from within the
    /// log's own calls, once the command was applied here or can not be known
    /// to be committed.
    std::function<void(std::string command, Done done)> propose_;
    /// Whether all VMs that keep the log can apply differences.
    std::function<bool()> all_apply_differences_;
  };

  /// `config` is the state that the log's commands are applied to. It must
  /// outlive this object, and this object the calls of `done` by the hook.
  ConfigProposer(const ConfigRegister* config, Hooks hooks);

  /// Proposes `document` under the operator's `version`. Calls `done` once this
  /// version or one that replaced it is committed, or can not be known to be;
  /// possibly within this call.
  void Submit(uint64_t version, std::string document, Done done);

 private:
  struct Document {
    uint64_t version_ = 0;
    std::string text_;
  };
  struct Waiter {
    uint64_t version_ = 0;
    Done done_;
  };

  void Start();
  void Propose(bool may_be_difference);
  void Proposed(bool is_committed, const std::string& reason);
  /// Reports the result to the waiters for versions up to `version`.
  void Finish(uint64_t version, bool is_committed, const std::string& reason);

  const ConfigRegister* const config_;
  const Hooks hooks_;
  /// Document in the log that is not known to be committed.
  std::optional<Document> proposed_;
  /// Highest version submitted since.
  std::optional<Document> next_;
  std::vector<Waiter> waiters_;
};

}  // namespace citronlane

#endif  // CITRONLANE_STATE_CONFIG_PROPOSER_H_
