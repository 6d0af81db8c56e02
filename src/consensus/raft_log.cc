#include "citronlane/consensus/detail/raft_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronlane {

RaftLog::RaftLog(Snapshot snapshot, std::vector<Entry> entries)
    : snapshot_(std::make_shared<const Snapshot>(std::move(snapshot))),
      base_index_(snapshot_->index_),
      base_term_(snapshot_->term_),
      entries_(std::make_move_iterator(entries.begin()),
               std::make_move_iterator(entries.end())) {
  stored_ = last_index();
  commit_ = snapshot_->index_;
  applied_ = snapshot_->index_;
}

uint64_t RaftLog::TermAt(uint64_t index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > last_index()) {
    return 0;
  }
  return At(index).term_;
}

bool RaftLog::Matches(uint64_t index, uint64_t term) const {
  if (index < base_index_ || index > last_index()) {
    return false;
  }
  return TermAt(index) == term;
}

const Entry& RaftLog::At(uint64_t index) const {
  return entries_[index - first_index()];
}

bool RaftLog::IsUpToDate(uint64_t index, uint64_t term) const {
  if (term != last_term()) {
    return term > last_term();
  }
  return index >= last_index();
}

uint64_t RaftLog::FindConflict(uint64_t index, uint64_t term) const {
  index = std::min(index, last_index());
  while (index > base_index_ && TermAt(index) > term) {
    --index;
  }
  return index;
}

uint64_t RaftLog::Append(Entry entry) {
  entry.index_ = last_index() + 1;
  entries_.push_back(std::move(entry));
  return last_index();
}

uint64_t RaftLog::Merge(absl::Span<const Entry> entries) {
  uint64_t replaced = 0;
  for (const Entry& entry : entries) {
    if (entry.index_ <= commit_ || Matches(entry.index_, entry.term_)) {
      continue;
    }
    if (entry.index_ <= last_index()) {
      replaced = entry.index_;
      entries_.resize(entry.index_ - first_index());
      stored_ = std::min(stored_, entry.index_ - 1);
    }
    entries_.push_back(entry);
  }
  return replaced;
}

std::vector<Entry> RaftLog::Slice(uint64_t index,
                                  size_t max_entries,
                                  size_t max_bytes) const {
  std::vector<Entry> slice;
  size_t bytes = 0;
  for (; index <= last_index() && slice.size() < max_entries; ++index) {
    const Entry& entry = At(index);
    bytes += entry.payload_.size();
    if (bytes > max_bytes && !slice.empty()) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

std::vector<Entry> RaftLog::Unstored() const {
  return std::vector<Entry>(
      entries_.begin() + static_cast<ptrdiff_t>(stored_ - base_index_),
      entries_.end());
}

std::vector<Entry> RaftLog::Unapplied() const {
  const auto at = [this](uint64_t index) {
    return entries_.begin() + static_cast<ptrdiff_t>(index - first_index());
  };
  return std::vector<Entry>(at(applied_ + 1), at(commit_ + 1));
}

void RaftLog::CommitTo(uint64_t index) {
  commit_ = std::max(commit_, std::min(index, last_index()));
}

void RaftLog::MarkStored(uint64_t index, uint64_t term) {
  if (Matches(index, term)) {
    stored_ = std::max(stored_, index);
  }
}

void RaftLog::MarkApplied(uint64_t index) {
  applied_ = std::max(applied_, index);
}

void RaftLog::Compact(Snapshot snapshot,
                      uint64_t kept_entries,
                      size_t kept_bytes) {
  if (snapshot.index_ <= snapshot_->index_ || snapshot.index_ > applied_) {
    return;
  }
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  uint64_t base = snapshot_->index_;
  size_t bytes = 0;
  while (base > base_index_ && snapshot_->index_ - base < kept_entries) {
    bytes += At(base).payload_.size();
    if (bytes > kept_bytes) {
      break;
    }
    --base;
  }
  const uint64_t term = TermAt(base);
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<ptrdiff_t>(base - base_index_));
  base_index_ = base;
  base_term_ = term;
}

void RaftLog::Reset(Snapshot snapshot) {
  entries_.clear();
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  base_index_ = snapshot_->index_;
  base_term_ = snapshot_->term_;
  stored_ = base_index_;
  commit_ = base_index_;
  applied_ = base_index_;
}

}  // namespace citronlane
