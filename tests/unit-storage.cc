#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "support/memory_disk.h"
#include "support/storage_samples.h"

namespace citronlane {
namespace {

std::string Open(MemoryDisk* disk, uint64_t id = kNode) {
  Error error;
  return MakeStorage(disk)->Open(id, &error) ? "" : error.message_;
}

/// Stores a member's snapshot, a batch of two entries and a batch of one.
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
      // After a failed call no later one reports success.
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
  const std::string undamaged = log;
  // The last batch is one record: a header of 40 bytes and the payload.
  const size_t last_batch =
      undamaged.size() - 40 - std::string("entry 4").size();

  SECTION("in the middle of the log is refused with file and offset") {
    for (size_t at = 0; at < last_batch; ++at) {
      log = undamaged;
      log[at] = static_cast<char>(log[at] ^ 0x40);
      const std::string reason = Open(&disk);
      INFO(at);
      REQUIRE(reason.find("damaged log record in " + path + " at offset ") ==
              0);
    }
  }
  SECTION("at the end of the log counts as a torn write and is truncated") {
    for (size_t size = last_batch + 1; size < undamaged.size(); ++size) {
      MemoryDisk other;
      Fill(&other);
      other.Content(path).resize(size);
      Error error;
      const auto state = MakeStorage(&other)->Open(kNode, &error);
      REQUIRE(state);
      REQUIRE(state->entries_.size() == 2);
      REQUIRE(state->truncation_.find(path) != std::string::npos);
    }
  }
  SECTION("in a snapshot is refused with the file") {
    const std::string snapshot = LastPath(disk, "snapshot-");
    std::string& content = disk.Content(snapshot);
    const std::string undamaged_snapshot = content;
    for (size_t at = 0; at < undamaged_snapshot.size(); ++at) {
      content = undamaged_snapshot;
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
    SECTION("first segment of the log") {
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
  // A tail of at most one interval, at under 60 bytes an entry, and a segment.
  CHECK(log_bytes < kInterval * 60 + kSegmentBytes);
}

}  // namespace citronlane
