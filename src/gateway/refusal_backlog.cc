#include "citronlane/gateway/refusal_backlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronlane {
namespace {

constexpr size_t kMaxBatchEntries = 256;

/// Whether the request or its client account was invalid: reasons 1xx and 2xx.
bool IsCallerError(RefusalReason reason) {
  return reason < RefusalReason::kDeadlineUnreachable;
}

}  // namespace

RefusalBacklog::RefusalBacklog(size_t bound, SendHook send)
    : bound_(bound), send_(std::move(send)) {}

void RefusalBacklog::Add(const RefusalEntry& entry) {
  const std::lock_guard lock(mutex_);
  if (IsCallerError(entry.reason_) && entries_.size() >= bound_ / 2) {
    // A flood of invalid requests must not displace the other refusals.
    ++dropped_unsent_;
    ++dropped_total_;
    return;
  }
  entries_.push_back(entry);
  if (entries_.size() > bound_) {
    entries_.pop_front();
    ++dropped_unsent_;
    ++dropped_total_;
  }
}

bool RefusalBacklog::Flush() {
  while (true) {
    uint64_t dropped = 0;
    std::vector<RefusalEntry> batch = TakeBatch(&dropped);
    if (batch.empty() && dropped == 0) {
      return true;
    }
    if (!send_ || !send_(batch, dropped)) {
      PutBack(std::move(batch), dropped);
      return false;
    }
  }
}

std::vector<RefusalEntry> RefusalBacklog::TakeBatch(uint64_t* dropped) {
  const std::lock_guard lock(mutex_);
  const auto size =
      static_cast<std::ptrdiff_t>(std::min(kMaxBatchEntries, entries_.size()));
  std::vector<RefusalEntry> batch(
      std::make_move_iterator(entries_.begin()),
      std::make_move_iterator(entries_.begin() + size));
  entries_.erase(entries_.begin(), entries_.begin() + size);
  *dropped = std::exchange(dropped_unsent_, 0);
  return batch;
}

void RefusalBacklog::PutBack(std::vector<RefusalEntry> batch,
                             uint64_t dropped) {
  const std::lock_guard lock(mutex_);
  dropped_unsent_ += dropped;
  entries_.insert(entries_.begin(), std::make_move_iterator(batch.begin()),
                  std::make_move_iterator(batch.end()));
  while (entries_.size() > bound_) {
    entries_.pop_front();
    ++dropped_unsent_;
    ++dropped_total_;
  }
}

size_t RefusalBacklog::size() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

uint64_t RefusalBacklog::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_total_;
}

}  // namespace citronlane
