#include "citronlane/routing/request_sends.h"

#include <algorithm>
#include <utility>

#include "citronlane/routing/repeat_budget.h"

namespace citronlane {

RequestSends::RequestSends(RepeatBudget* budget,
                           const Before& before,
                           Hooks hooks)
    : budget_(budget), was_sent_(before.was_sent_), hooks_(std::move(hooks)) {
  if (!before.was_counted_ && !before.was_sent_) {
    budget_->OnFirstSend(hooks_.now_());
  }
}

// Of the calls that are still pending one may arrive before all others, and is
// no repeat.
RequestSends::~RequestSends() {
  const TimePoint now = hooks_.now_();
  if (has_reserved_) {
    budget_->CancelOpen();
  }
  for (const std::string& server : pending_) {
    if (open_ > 0) {
      --open_;
      budget_->SettleOpenLate(server, now);
    }
  }
  for (; open_ > 0; --open_) {
    budget_->SettleOpen(now);
  }
}

bool RequestSends::Reserve() {
  const bool is_first = sent_ == 0 && !was_sent_;
  if (!is_first && !has_reserved_) {
    has_reserved_ = budget_->TryOpen(hooks_.now_(), hooks_.nodes_());
  }
  return is_first || has_reserved_;
}

bool RequestSends::OnSending(const std::string& server) {
  if (!Reserve()) {
    return false;
  }
  if (has_reserved_) {
    has_reserved_ = false;
    ++open_;
  }
  ++sent_;
  pending_.push_back(server);
  return true;
}

void RequestSends::OnArrived(const std::string& server) {
  if (!RemovePending(server)) {
    return;
  }
  const TimePoint now = hooks_.now_();
  budget_->OnSignOfLife(server, now);
  if (pending_.empty()) {
    for (; open_ > 0; --open_) {
      budget_->SettleOpen(now);
    }
  }
}

void RequestSends::OnNotSent(const std::string& server) {
  if (!RemovePending(server)) {
    return;
  }
  if (is_repeat()) {
    --open_;
    has_reserved_ = true;
  }
  --sent_;
}

bool RequestSends::RemovePending(const std::string& server) {
  const auto it = std::find(pending_.begin(), pending_.end(), server);
  if (it == pending_.end()) {
    return false;
  }
  pending_.erase(it);
  return true;
}

}  // namespace citronlane
