#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/replica_impl.h"

namespace citronlane {

void Replica::Impl::CarryOutReady() {
  while (node_) {
    Ready ready = node_->TakeReady();
    if (ready.IsEmpty()) {
      break;
    }
    peers_->Send(SteadyNow(), node_->membership(),
                 std::move(ready.early_messages_));
    Error error;
    if (!StoreReady(ready, &error)) {
      Fail(error.message_);
      return;
    }
    // Replies to lease renewals carry this membership, so it is published
    // before the entry that changes it is acknowledged.
    PublishStatus();
    peers_->Send(SteadyNow(), node_->membership(), std::move(ready.messages_));
    Apply(ready.committed_);
    node_->Advance(SteadyNow());
    for (const auto& [context, index] : ready.confirmed_reads_) {
      pending_.FinishRead(context, true);
    }
    if (!snapshots_.TakeIfDue(node_.get(), storage_.get(), &error)) {
      Fail(error.message_);
      return;
    }
    NotifyRole();
  }
  NotifyRole();
}

// Stores everything that arrived since the last call with one sync.
bool Replica::Impl::StoreReady(const Ready& ready, Error* error) {
  if (ready.snapshot_) {
    if (!storage_->SaveSnapshot(*ready.snapshot_, true, error)) {
      return false;
    }
    const uint64_t index = ready.snapshot_->index_;
    snapshots_.OnInstalled(index);
    if (hooks_.truncated_ && last_appended_ > index) {
      hooks_.truncated_(index + 1);
    }
    last_appended_ = index;
    if (hooks_.install_snapshot_) {
      hooks_.install_snapshot_(index, ready.snapshot_->data_);
    }
  }
  if (!storage_->Append(ready.hard_state_, ready.entries_, error)) {
    return false;
  }
  // Replies to lease renewals report the newest version in the log and must
  // include an entry before a quorum can have committed it, so the hooks run
  // before the entry is acknowledged. They run after the sync, since gateways
  // get no lease from a node that reports a version they do not have yet.
  NotifyAppended(ready.entries_);
  return true;
}

void Replica::Impl::NotifyAppended(const std::vector<Entry>& entries) {
  if (entries.empty()) {
    return;
  }
  if (entries.front().index_ <= last_appended_ && hooks_.truncated_) {
    hooks_.truncated_(entries.front().index_);
  }
  last_appended_ = entries.back().index_;
  for (const Entry& entry : entries) {
    if (entry.kind_ == EntryKind::kCommand && hooks_.appended_) {
      hooks_.appended_(entry.index_, entry.payload_);
    }
  }
}

void Replica::Impl::Apply(const std::vector<Entry>& committed) {
  for (const Entry& entry : committed) {
    snapshots_.OnApplied(entry.payload_.size());
    std::string result;
    if (entry.kind_ == EntryKind::kCommand) {
      result = hooks_.apply_(entry.index_, entry.payload_);
    }
    pending_.Applied(entry, std::move(result));
  }
}

void Replica::Impl::NotifyRole() {
  if (!node_ || (node_->role() == last_role_ && node_->term() == last_term_)) {
    return;
  }
  const bool was_leader = last_role_ == Role::kLeader;
  last_role_ = node_->role();
  last_term_ = node_->term();
  if (hooks_.role_changed_) {
    hooks_.role_changed_(last_role_, last_term_);
  }
  if (was_leader) {
    pending_.FailAll(
        "this node lost the leadership; the command may still be committed");
  }
}

}  // namespace citronlane
