#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/memory_disk.h"
#include "support/storage_samples.h"

namespace citronlane {
namespace {

/// Seeded pseudo-random numbers, the same on every machine.
class RandomNumbers {
 public:
  explicit RandomNumbers(uint64_t seed)
      : state_(seed * 0x9E3779B97F4A7C15ULL + 1) {}
  uint64_t operator()(uint64_t below) {
    state_ ^= state_ << 13;
    state_ ^= state_ >> 7;
    state_ ^= state_ << 17;
    return state_ % below;
  }

 private:
  uint64_t state_;
};

/// Expected content of the disk after the calls that succeeded.
struct Model {
  HardState hard_state_;
  uint64_t base_ = 0;
  uint64_t base_term_ = 0;
  std::vector<Entry> entries_;

  uint64_t last() const { return base_ + entries_.size(); }
  uint64_t last_term() const {
    return entries_.empty() ? base_term_ : entries_.back().term_;
  }
  void Append(const std::optional<HardState>& hard_state,
              const std::vector<Entry>& entries) {
    hard_state_ = hard_state.value_or(hard_state_);
    if (!entries.empty()) {
      entries_.resize(entries.front().index_ - base_ - 1);
      entries_.insert(entries_.end(), entries.begin(), entries.end());
    }
  }
  void Snapshot(uint64_t index, uint64_t term, bool replaces) {
    if (replaces || entries_.empty()) {
      entries_.clear();
    } else {
      entries_.erase(entries_.begin(),
                     entries_.begin() + static_cast<ptrdiff_t>(index - base_));
    }
    base_ = index;
    base_term_ = term;
  }
};

bool SameEntries(const std::vector<Entry>& a, const std::vector<Entry>& b) {
  if (a.size() != b.size()) {
    return false;
  }
  for (size_t i = 0; i < a.size(); ++i) {
    if (a[i].index_ != b[i].index_ || a[i].term_ != b[i].term_ ||
        a[i].payload_ != b[i].payload_) {
      return false;
    }
  }
  return true;
}

bool Matches(const StoredState& state, const Model& model) {
  return state.snapshot_.index_ == model.base_ &&
         state.hard_state_.term_ == model.hard_state_.term_ &&
         state.hard_state_.vote_ == model.hard_state_.vote_ &&
         SameEntries(state.entries_, model.entries_);
}

/// Makes random calls on a storage and keeps the states that a crash may leave:
/// those before and after the failed call, and those between its steps.
class Workload {
 public:
  Workload(MemoryDisk* disk, uint64_t seed) : disk_(*disk), numbers_(seed) {}

  /// Opens the storage and makes `calls` calls. Returns false when one failed.
  bool Run(int calls) {
    storage_ = MakeStorage(&disk_);
    Error error;
    if (!storage_->Open(kNode, &error)) {
      return false;
    }
    for (int i = 0; i < calls; ++i) {
      if (!Call()) {
        return false;
      }
      possible_ = {model_};
    }
    return true;
  }

  bool IsPossible(const StoredState& state) const {
    for (const Model& model : possible_) {
      if (Matches(state, model)) {
        return true;
      }
    }
    return false;
  }

 private:
  bool Call() {
    Error error;
    if (model_.base_ == 0) {
      return Save(SnapshotAt(1, 1), false);
    }
    const uint64_t kind = numbers_(10);
    if (kind == 0 && !model_.entries_.empty()) {
      const uint64_t count = 1 + numbers_(model_.entries_.size());
      const Entry& last = model_.entries_[count - 1];
      return Save(SnapshotAt(last.index_, last.term_), false);
    }
    if (kind == 1) {
      return Save(SnapshotAt(model_.last() + 3, model_.last_term() + 1), true);
    }
    return Append();
  }

  bool Append() {
    std::optional<HardState> hard_state;
    if (numbers_(3) == 0) {
      hard_state = HardState{model_.hard_state_.term_ + 1, numbers_(4)};
    }
    uint64_t first = model_.last() + 1;
    uint64_t term = model_.last_term();
    if (numbers_(4) == 0 && !model_.entries_.empty()) {
      first -= numbers_(model_.entries_.size());
      ++term;
    }
    const auto entries = Entries(first, numbers_(5), term);
    AddPartialStates(hard_state, entries);
    model_.Append(hard_state, entries);
    Error error;
    return storage_->Append(hard_state, entries, &error);
  }

  // A torn write leaves a prefix of: hard state, truncation, each entry.
  void AddPartialStates(const std::optional<HardState>& hard_state,
                        const std::vector<Entry>& entries) {
    Model partial = model_;
    partial.Append(hard_state, {});
    possible_.push_back(partial);
    for (size_t i = 0; i < entries.size(); ++i) {
      if (i == 0) {
        partial.entries_.resize(entries[0].index_ - partial.base_ - 1);
        possible_.push_back(partial);
      }
      partial.Append(std::nullopt, {entries[i]});
      possible_.push_back(partial);
    }
  }

  bool Save(const Snapshot& snapshot, bool replaces) {
    model_.Snapshot(snapshot.index_, snapshot.term_, replaces);
    possible_.push_back(model_);
    Error error;
    return storage_->SaveSnapshot(snapshot, replaces, &error);
  }

  MemoryDisk& disk_;
  RandomNumbers numbers_;
  std::unique_ptr<ReplicaStorage> storage_;
  Model model_;
  std::vector<Model> possible_ = {Model{}};
};

}  // namespace

TEST_CASE("storage loses nothing when power is cut at any call") {
  constexpr uint64_t kSeeds = 60;
  constexpr int kCalls = 25;
  uint64_t cuts = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    bool done = false;
    for (uint64_t call = 1; !done; ++call) {
      MemoryDisk disk;
      disk.FailAt(call, MemoryDisk::Failure::kPowerCut);
      Workload workload(&disk, seed);
      done = workload.Run(kCalls);
      RandomNumbers numbers(seed * 1000 + call);
      disk.CutPower([&](uint64_t below) { return numbers(below); });
      ++cuts;
      INFO("seed " << seed << ", call " << call);
      Error error;
      const auto state = MakeStorage(&disk)->Open(kNode, &error);
      INFO(error.message_);
      REQUIRE(state);
      REQUIRE(workload.IsPossible(*state));
      // The repairs of the first start are complete: a second one succeeds too.
      REQUIRE(MakeStorage(&disk)->Open(kNode, &error));
    }
  }
  CHECK(cuts > 4000);
}

}  // namespace citronlane
