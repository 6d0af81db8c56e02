#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/fleet/document_patch.h"
#include "citronlane/fleet/recent_documents.h"
#include "citronlane/fleet/update_pause.h"
#include "citronlane/relay/config_receiver.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using wire::fleet::ConfigUpdate;

/// Incompressible bytes from a fixed seed.
std::string Noise(size_t size) {
  std::string noise(size, '\0');
  uint64_t state = 1;
  for (char& byte : noise) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    byte = static_cast<char>(state >> 56);
  }
  return noise;
}

ConfigUpdate Encoded(const RecentDocuments::Update& update) {
  ConfigUpdate encoded;
  encoded.set_version(update.version_);
  encoded.set_has_base(update.base_.has_value());
  encoded.set_base_version(update.base_.value_or(0));
  encoded.set_data(update.data_);
  return encoded;
}

constexpr size_t kMegabyte = size_t{1} << 20;

}  // namespace

TEST_CASE("a document is restored from its encoding") {
  const std::string base = Noise(kMegabyte);
  std::string document = base;
  document.insert(kMegabyte / 2, "a few bytes more");
  Error error;

  SECTION("the size of a difference depends on the changed bytes") {
    const auto data = EncodeDocument(document, base, &error);
    REQUIRE(data);
    CHECK(data->size() < 2000);
    CHECK(DecodeDocument(*data, base, &error) == document);
  }
  SECTION("without a base it is complete") {
    const auto data = EncodeDocument(document, "", &error);
    REQUIRE(data);
    CHECK(DecodeDocument(*data, "", &error) == document);
  }
  SECTION("an empty document has an encoding too") {
    const auto data = EncodeDocument("", base, &error);
    REQUIRE(data);
    CHECK(DecodeDocument(*data, base, &error) == "");
  }
  SECTION("against another base it is refused") {
    const auto data = EncodeDocument(document, base, &error);
    REQUIRE(data);
    std::string other = base;
    other[kMegabyte / 4 + 100] ^= 1;
    CHECK_FALSE(DecodeDocument(*data, other, &error));
    CHECK_FALSE(error.message_.empty());
  }
  SECTION("damaged or cut data is refused") {
    const auto data = EncodeDocument(document, "", &error);
    REQUIRE(data);
    std::string damaged = *data;
    damaged[damaged.size() / 2] ^= 1;
    CHECK_FALSE(DecodeDocument(damaged, "", &error));
    CHECK_FALSE(DecodeDocument(data->substr(0, 1000), "", &error));
    CHECK_FALSE(DecodeDocument("", "", &error));
    CHECK_FALSE(DecodeDocument("no frame", "", &error));
  }
}

TEST_CASE("the newest document for receivers of any version") {
  RecentDocuments recent(3 * kMegabyte);
  const std::string first = Noise(kMegabyte);
  Error error;
  CHECK_FALSE(recent.newest());
  recent.Add(5, first);
  recent.Add(8, first + "x");

  SECTION("a receiver of a kept version gets the difference") {
    const auto* update = recent.UpdateFrom(5, &error);
    REQUIRE(update);
    CHECK(update->version_ == 8);
    CHECK(update->base_ == 5);
    CHECK(update->data_.size() < 2000);
    // Encoded once for all receivers of that version.
    CHECK(recent.UpdateFrom(5, &error) == update);
  }
  SECTION("other receivers get the full document") {
    const auto* update = recent.UpdateFrom(std::nullopt, &error);
    REQUIRE(update);
    CHECK_FALSE(update->base_);
    CHECK(DecodeDocument(update->data_, "", &error) == first + "x");
    CHECK(recent.UpdateFrom(7, &error) == update);
  }
  SECTION("the oldest are evicted when their bytes do not fit") {
    recent.Add(9, first + "y");
    recent.Add(11, first + "z");
    CHECK(recent.bytes() <= 3 * kMegabyte);
    CHECK_FALSE(recent.UpdateFrom(5, &error)->base_);
    CHECK(recent.UpdateFrom(9, &error)->base_ == 9);
  }
  SECTION("the newest is kept whatever its size") {
    recent.Add(20, Noise(4 * kMegabyte));
    CHECK(recent.newest() == 20);
    CHECK(recent.bytes() == 4 * kMegabyte);
  }
  SECTION("a lower version replaces all documents") {
    recent.Add(2, "{}");
    CHECK(recent.newest() == 2);
    CHECK(recent.bytes() == 2);
  }
  SECTION("the same version changes nothing") {
    recent.Add(8, first + "x");
    CHECK(recent.bytes() == 2 * first.size() + 1);
  }
}

TEST_CASE("a gateway restores configurations") {
  RecentDocuments recent(4 * kMegabyte);
  ConfigReceiver receiver;
  Error error;
  recent.Add(1, Noise(1000));
  REQUIRE(
      receiver.Take(Encoded(*recent.UpdateFrom(std::nullopt, &error)), &error));
  CHECK(receiver.version() == 1);
  CHECK(receiver.document() == Noise(1000));
  recent.Add(2, Noise(1000) + "x");
  const ConfigUpdate second = Encoded(*recent.UpdateFrom(1, &error));

  SECTION("from a difference to the one it holds") {
    REQUIRE(receiver.Take(second, &error));
    CHECK(receiver.version() == 2);
    CHECK(receiver.document() == Noise(1000) + "x");

    SECTION("and ignores one that is not newer") {
      CHECK_FALSE(receiver.Take(second, &error));
      CHECK(receiver.version() == 2);
    }
    // Sent by a control VM that assumed an earlier version here.
    SECTION("and keeps it when the difference has another base") {
      recent.Add(3, "{}");
      CHECK_FALSE(
          receiver.Take(Encoded(*recent.UpdateFrom(1, &error)), &error));
      CHECK(receiver.version() == 2);
      REQUIRE(receiver.Take(Encoded(*recent.UpdateFrom(2, &error)), &error));
      CHECK(receiver.document() == "{}");
    }
  }
  // Two clusters may use the same version for different documents.
  SECTION("and requests the full one when the base has other content") {
    ConfigReceiver other;
    RecentDocuments foreign(kMegabyte);
    foreign.Add(1, Noise(1001));
    REQUIRE(
        other.Take(Encoded(*foreign.UpdateFrom(std::nullopt, &error)), &error));
    CHECK_FALSE(other.Take(second, &error));
    CHECK_FALSE(other.version());
  }
}

// A gateway that read large documents one after the other served no requests
// meanwhile.
TEST_CASE("a series of large changes leaves time for requests") {
  const auto gap = milliseconds(200);
  const int changes = 100;
  const auto took = GENERATE(milliseconds(5), milliseconds(40),
                             milliseconds(180), milliseconds(500));
  const auto end = gap * changes;
  Duration now{};
  Duration reading{};
  Duration longest_wait{};
  int newest_read = -1;
  while (now < end) {
    const int newest = static_cast<int>(now / gap);
    if (newest == newest_read) {
      now = gap * (newest + 1);
      continue;
    }
    now += took;
    reading += took;
    // The oldest change that was not in force yet.
    longest_wait =
        std::max<Duration>(longest_wait, now - gap * (newest_read + 1));
    newest_read = newest;
    now += PauseAfterUpdate(took);
  }
  CHECK(longest_wait <= milliseconds(2000));
  // The pause is bounded, so slow updates take a larger fraction of the time.
  CHECK(reading <= (took <= milliseconds(200) ? now / 4 : now / 2));
}

}  // namespace citronlane
