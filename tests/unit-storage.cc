#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/storage/posix_file_system.h"
#include "citronlane/storage/recover.h"
#include "citronlane/storage/replica_storage.h"
#include "support/memory_disk.h"

namespace citronlane {
namespace {

namespace fs = std::filesystem;

constexpr uint64_t kNode = 3;
constexpr uint64_t kSegmentBytes = 600;

/// Seeded numbers, the same on every machine.
class Numbers {
 public:
  explicit Numbers(uint64_t seed) : state_(seed * 0x9E3779B97F4A7C15ULL + 1) {}
  uint64_t operator()(uint64_t below) {
    state_ ^= state_ << 13;
    state_ ^= state_ >> 7;
    state_ ^= state_ << 17;
    return state_ % below;
  }

 private:
  uint64_t state_;
};

std::unique_ptr<ReplicaStorage> MakeStorage(MemoryDisk* disk,
                                            uint64_t incarnation = 77) {
  return std::make_unique<ReplicaStorage>(
      disk->Files(), "data", kSegmentBytes,
      [incarnation] { return incarnation; });
}

Snapshot SnapshotAt(uint64_t index, uint64_t term) {
  Snapshot snapshot{index, term, {}, "state " + std::to_string(index)};
  snapshot.membership_.voters_[kNode] = "127.0.0.1:1";
  return snapshot;
}

std::vector<Entry> Entries(uint64_t first, uint64_t count, uint64_t term) {
  std::vector<Entry> entries;
  for (uint64_t i = first; i < first + count; ++i) {
    entries.push_back(
        Entry{i, term, EntryKind::kCommand, "entry " + std::to_string(i)});
  }
  return entries;
}

/// What a disk must hold after the calls that succeeded.
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

/// Random calls on a storage, with the states that a crash may leave: the one
/// before the call that failed, after it, and the steps between.
class Workload {
 public:
  Workload(MemoryDisk* disk, uint64_t seed) : disk_(*disk), numbers_(seed) {}

  /// Opens and makes `calls` calls. False when one failed.
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
    NoteSteps(hard_state, entries);
    model_.Append(hard_state, entries);
    Error error;
    return storage_->Append(hard_state, entries, &error);
  }

  // A torn write leaves a prefix of: hard state, truncation, each entry.
  void NoteSteps(const std::optional<HardState>& hard_state,
                 const std::vector<Entry>& entries) {
    Model step = model_;
    step.Append(hard_state, {});
    possible_.push_back(step);
    for (size_t i = 0; i < entries.size(); ++i) {
      if (i == 0) {
        step.entries_.resize(entries[0].index_ - step.base_ - 1);
        possible_.push_back(step);
      }
      step.Append(std::nullopt, {entries[i]});
      possible_.push_back(step);
    }
  }

  bool Save(const Snapshot& snapshot, bool replaces) {
    model_.Snapshot(snapshot.index_, snapshot.term_, replaces);
    possible_.push_back(model_);
    Error error;
    return storage_->SaveSnapshot(snapshot, replaces, &error);
  }

  MemoryDisk& disk_;
  Numbers numbers_;
  std::unique_ptr<ReplicaStorage> storage_;
  Model model_;
  std::vector<Model> possible_ = {Model{}};
};

std::string Open(MemoryDisk* disk, uint64_t id = kNode) {
  Error error;
  return MakeStorage(disk)->Open(id, &error) ? "" : error.message_;
}

/// A disk with a member's snapshot and one batch of two entries, then another.
void Fill(MemoryDisk* disk) {
  Error error;
  const auto storage = MakeStorage(disk);
  REQUIRE(storage->Open(kNode, &error));
  REQUIRE(storage->SaveSnapshot(SnapshotAt(1, 1), false, &error));
  REQUIRE(storage->Append(HardState{2, 3}, Entries(2, 2, 2), &error));
  REQUIRE(storage->Append(std::nullopt, Entries(4, 1, 2), &error));
}

std::string LastPath(const MemoryDisk& disk, const std::string& part) {
  std::string last;
  for (const std::string& path : disk.Paths()) {
    if (path.find(part) != std::string::npos) {
      last = path;
    }
  }
  return last;
}

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
      Numbers numbers(seed * 1000 + call);
      disk.CutPower([&](uint64_t below) { return numbers(below); });
      ++cuts;
      INFO("seed " << seed << ", call " << call);
      Error error;
      const auto state = MakeStorage(&disk)->Open(kNode, &error);
      INFO(error.message_);
      REQUIRE(state);
      REQUIRE(workload.IsPossible(*state));
      const std::string again = Open(&disk);
      INFO(again);
      REQUIRE(again.empty());
    }
  }
  CHECK(cuts > 4000);
}

TEST_CASE("storage after a failed call") {
  constexpr int kCalls = 25;
  for (uint64_t call = 20; call < 60; ++call) {
    MemoryDisk disk;
    disk.FailAt(call, MemoryDisk::Failure::kError);
    Error error;
    const auto storage = MakeStorage(&disk);
    if (!storage->Open(kNode, &error) ||
        !storage->SaveSnapshot(SnapshotAt(1, 1), false, &error)) {
      continue;
    }
    bool failed = false;
    for (uint64_t i = 0; i < kCalls; ++i) {
      const bool stored =
          storage->Append(std::nullopt, Entries(2 + i, 1, 1), &error);
      INFO("call " << call << ", entry " << 2 + i);
      // Once it failed it never says again that something is stored.
      REQUIRE((!failed || !stored));
      failed = !stored;
    }
    CHECK(failed);
  }
}

TEST_CASE("damage on disk") {
  MemoryDisk disk;
  Fill(&disk);
  const std::string path = LastPath(disk, ".wal");
  std::string& log = disk.Content(path);
  const std::string whole = log;
  // The last batch is one record: the 40 bytes of its header and its payload.
  const size_t last_batch = whole.size() - 40 - std::string("entry 4").size();

  SECTION("in the middle of the log is refused with file and offset") {
    for (size_t at = 0; at < last_batch; ++at) {
      log = whole;
      log[at] = static_cast<char>(log[at] ^ 0x40);
      const std::string reason = Open(&disk);
      INFO(at);
      REQUIRE(reason.find("damaged log record in " + path + " at offset ") ==
              0);
    }
  }
  SECTION("at the end of the log counts as a torn write and is cut") {
    for (size_t size = last_batch + 1; size < whole.size(); ++size) {
      MemoryDisk other;
      Fill(&other);
      other.Content(path).resize(size);
      Error error;
      const auto state = MakeStorage(&other)->Open(kNode, &error);
      REQUIRE(state);
      REQUIRE(state->entries_.size() == 2);
      REQUIRE(state->cut_.find(path) != std::string::npos);
    }
  }
  SECTION("in a snapshot is refused with the file") {
    const std::string snapshot = LastPath(disk, "snapshot-");
    std::string& content = disk.Content(snapshot);
    const std::string good = content;
    for (size_t at = 0; at < good.size(); ++at) {
      content = good;
      content[at] = static_cast<char>(content[at] ^ 1);
      REQUIRE(Open(&disk) == "damaged snapshot " + snapshot);
    }
  }
  SECTION("by a lost file is refused") {
    SECTION("log") {
      while (!LastPath(disk, ".wal").empty()) {
        disk.Remove(LastPath(disk, ".wal"));
      }
      CHECK(Open(&disk) == "log or snapshot is missing in data");
    }
    SECTION("first part of the log") {
      Error error;
      const auto storage = MakeStorage(&disk);
      REQUIRE(storage->Open(kNode, &error));
      REQUIRE(storage->Append(std::nullopt, Entries(5, 20, 2), &error));
      disk.Remove(path);
      CHECK(Open(&disk).find("a log segment is missing before data/") == 0);
    }
    SECTION("snapshot") {
      disk.Remove(LastPath(disk, "snapshot-"));
      CHECK(Open(&disk) == "log or snapshot is missing in data");
    }
    SECTION("identity") {
      disk.Remove("data/identity");
      CHECK(Open(&disk) == "identity file is missing in data");
    }
  }
}

TEST_CASE("identity of a data folder") {
  MemoryDisk disk;
  Fill(&disk);
  SECTION("belongs to one node") {
    CHECK(Open(&disk, 4) == "data belongs to node 3, not to node 4");
  }
  SECTION("keeps its incarnation, and a new folder gets another") {
    Error error;
    CHECK(MakeStorage(&disk, 78)->Open(kNode, &error)->incarnation_ == 77);
    MemoryDisk other;
    CHECK(MakeStorage(&other, 78)->Open(kNode, &error)->incarnation_ == 78);
  }
}

TEST_CASE("recovery report") {
  using Finding = RecoveryReport::Finding;
  const fs::path root = fs::temp_directory_path() /
                        ("citronlane-recover-" + std::to_string(::getpid()));
  const std::string folder = root / "data";
  const FileSystem files = PosixFileSystem();
  fs::create_directories(folder);
  Error error;
  const auto inspect = [&] {
    return InspectDataFolder(files, folder + "/", kNode, &error).value();
  };
  CHECK(inspect().finding_ == Finding::kEmpty);
  std::string log;
  {
    ReplicaStorage storage(files, folder, kSegmentBytes, [] { return 7; });
    REQUIRE(storage.Open(kNode, &error));
    REQUIRE(storage.SaveSnapshot(SnapshotAt(1, 1), false, &error));
    REQUIRE(storage.Append(HardState{2, 3}, Entries(2, 3, 2), &error));
    REQUIRE(storage.Append(std::nullopt, Entries(5, 1, 2), &error));
    CHECK_FALSE(InspectDataFolder(files, folder, kNode, &error));
    CHECK(error.message_ == "another process uses " + folder);
  }
  for (const auto& item : fs::directory_iterator(folder)) {
    log = std::max(log, item.path().extension() == ".wal" ? item.path().string()
                                                          : std::string());
  }
  const auto size = fs::file_size(log);

  SECTION("of a folder in order") {
    const RecoveryReport report = inspect();
    CHECK(report.finding_ == Finding::kHealthy);
    CHECK(report.lines_[1] ==
          "It holds a snapshot up to entry 1 with 1 voters, and 4 entries "
          "after it.");
    CHECK_FALSE(SetDataFolderAside(files, folder, report, &error));
    // The settings are wrong then, not the folder.
    CHECK_FALSE(InspectDataFolder(files, folder, kNode + 1, &error));
  }
  SECTION("of a torn tail changes nothing") {
    fs::resize_file(log, size - 1);
    CHECK(inspect().finding_ == Finding::kTornTail);
    CHECK(inspect().lines_[2].find("cut a torn tail of ") != std::string::npos);
    CHECK(fs::file_size(log) == size - 1);
  }
  SECTION("of a damaged folder says what it would do, then does it") {
    fs::remove(folder + "/identity");
    fs::create_directories(folder + ".damaged-1");
    const RecoveryReport report = inspect();
    CHECK(report.finding_ == Finding::kUntrusted);
    CHECK(report.set_aside_ == folder + ".damaged-2");
    CHECK(fs::exists(log));
    REQUIRE(SetDataFolderAside(files, folder + "/", report, &error));
    CHECK_FALSE(fs::exists(folder));
    CHECK(fs::exists(folder + ".damaged-2"));
  }
  fs::remove_all(root);
}

TEST_CASE("restart after 500 changes reads one snapshot and a bounded tail") {
  constexpr uint64_t kInterval = 100;
  MemoryDisk disk;
  Error error;
  auto storage = MakeStorage(&disk);
  REQUIRE(storage->Open(kNode, &error));
  REQUIRE(storage->SaveSnapshot(SnapshotAt(1, 1), false, &error));
  for (uint64_t index = 2; index <= 501; ++index) {
    REQUIRE(storage->Append(std::nullopt, Entries(index, 1, 1), &error));
    if (index % kInterval == 0) {
      REQUIRE(storage->SaveSnapshot(SnapshotAt(index - 5, 1), false, &error));
    }
  }
  storage = MakeStorage(&disk);
  const auto state = storage->Open(kNode, &error);
  INFO(error.message_);
  REQUIRE(state);
  CHECK(state->snapshot_.index_ == 495);
  CHECK(state->snapshot_.data_ == "state 495");
  CHECK(state->entries_.size() == 6);
  size_t snapshots = 0;
  size_t log_bytes = 0;
  for (const std::string& path : disk.Paths()) {
    const bool is_snapshot = path.find("snapshot-") != std::string::npos;
    snapshots += is_snapshot ? 1 : 0;
    log_bytes += is_snapshot ? 0 : disk.Content(path).size();
  }
  CHECK(snapshots == 1);
  // A tail of at most one interval and one segment, at under 60 bytes each.
  CHECK(log_bytes < kInterval * 60 + kSegmentBytes);
}

}  // namespace citronlane
