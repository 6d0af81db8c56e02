#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "citronlane/storage/posix_file_system.h"
#include "citronlane/storage/recover.h"
#include "support/storage_samples.h"

namespace citronlane {

namespace fs = std::filesystem;

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

  SECTION("of a healthy folder") {
    const RecoveryReport report = inspect();
    CHECK(report.finding_ == Finding::kHealthy);
    CHECK(report.lines_[1] ==
          "It holds a snapshot up to entry 1 with 1 voters, and 4 entries "
          "after it.");
    CHECK_FALSE(SetDataFolderAside(files, folder, report, &error));
    // A wrong node id is an error of the settings, not damage to the folder.
    CHECK_FALSE(InspectDataFolder(files, folder, kNode + 1, &error));
  }
  SECTION("of a torn tail changes nothing") {
    fs::resize_file(log, size - 1);
    CHECK(inspect().finding_ == Finding::kTornTail);
    CHECK(inspect().lines_[2].find("truncating a torn tail of ") !=
          std::string::npos);
    CHECK(fs::file_size(log) == size - 1);
  }
  SECTION("of a damaged folder names the new path, and the folder is moved") {
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

}  // namespace citronlane
