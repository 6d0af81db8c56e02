#include "citronlane/state/config_proposer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/base/error.h"
#include "citronlane/state/config_register.h"

namespace citronlane {

ConfigProposer::ConfigProposer(const ConfigRegister* config, Hooks hooks)
    : config_(config), hooks_(std::move(hooks)) {}

void ConfigProposer::Submit(uint64_t version, std::string document, Done done) {
  callers_.push_back({version, std::move(done)});
  const bool is_replaced = (proposed_ && proposed_->version_ >= version) ||
                           (next_ && next_->version_ >= version);
  if (!is_replaced) {
    next_ = Document{version, std::move(document)};
  }
  Start();
}

void ConfigProposer::Start() {
  if (proposed_ || !next_) {
    return;
  }
  if (config_->Holds(next_->version_)) {
    const uint64_t version = next_->version_;
    next_.reset();
    Finish(version, true, "");
    return;
  }
  proposed_ = std::exchange(next_, std::nullopt);
  Propose(true);
}

void ConfigProposer::Propose(bool may_be_difference) {
  std::optional<std::string> command;
  if (may_be_difference && !config_->is_empty() &&
      hooks_.all_apply_differences_()) {
    // Without a difference the whole document does as well.
    Error ignored;
    command = config_->DifferenceCommand(proposed_->version_, proposed_->text_,
                                         &ignored);
  }
  if (!command) {
    command = ConfigRegister::Command(proposed_->version_, proposed_->text_);
  }
  hooks_.propose_(std::move(*command),
                  [this](bool is_committed, const std::string& reason) {
                    Proposed(is_committed, reason);
                  });
}

void ConfigProposer::Proposed(bool is_committed, const std::string& reason) {
  if (is_committed && !config_->Holds(proposed_->version_)) {
    // What an earlier leader had in the log changed the base.
    Propose(false);
    return;
  }
  const uint64_t version = proposed_->version_;
  proposed_.reset();
  Finish(version, is_committed, reason);
  Start();
}

void ConfigProposer::Finish(uint64_t version,
                            bool is_committed,
                            const std::string& reason) {
  // Calls may submit again.
  const auto waiting = std::partition(
      callers_.begin(), callers_.end(),
      [version](const Caller& caller) { return caller.version_ > version; });
  const std::vector<Caller> ended(std::make_move_iterator(waiting),
                                  std::make_move_iterator(callers_.end()));
  callers_.erase(waiting, callers_.end());
  for (const Caller& caller : ended) {
    caller.done_(is_committed, reason);
  }
}

}  // namespace citronlane
