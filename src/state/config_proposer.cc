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
  waiters_.push_back({version, std::move(done)});
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
    // Falls back to the full document when there is no difference command.
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
    // An entry of an earlier leader changed the base, so the difference did not
    // apply.
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
  // The callbacks may submit again, so the waiters are removed first.
  const auto waiting = std::partition(
      waiters_.begin(), waiters_.end(),
      [version](const Waiter& waiter) { return waiter.version_ > version; });
  const std::vector<Waiter> ended(std::make_move_iterator(waiting),
                                  std::make_move_iterator(waiters_.end()));
  waiters_.erase(waiting, waiters_.end());
  for (const Waiter& waiter : ended) {
    waiter.done_(is_committed, reason);
  }
}

}  // namespace citronlane
