#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "citronlane/routing/server_reach.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ProbeResult = ServerReach::ProbeResult;

std::vector<std::string> Addresses(size_t count) {
  std::vector<std::string> addresses;
  for (size_t i = 0; i < count; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i) + ":1");
  }
  return addresses;
}

/// A node with probes that end at once.
class Node {
 public:
  using Probes = std::function<ProbeResult(const std::string& address)>;

  Node(size_t servers, uint32_t seed)
      : addresses_(Addresses(servers)), random_(seed) {}

  /// Runs all rounds that are due.
  void Probe(const Probes& result_of) {
    while (reach_.IsRoundDue(now_)) {
      const auto drawn = reach_.StartRound(addresses_);
      CHECK(std::set<std::string>(drawn.begin(), drawn.end()).size() ==
            drawn.size());
      probes_ += drawn.size();
      for (const std::string& address : drawn) {
        reach_.OnProbed(address, result_of(address), now_);
      }
      if (drawn.empty()) {
        return;
      }
    }
  }

  std::vector<std::string> addresses_;
  std::mt19937 random_;
  TimePoint now_{seconds(100)};
  size_t probes_ = 0;
  ServerReach reach_{[this](uint64_t below) { return random_() % below; }};
};

ProbeResult None(const std::string&) {
  return ProbeResult::kFailed;
}
ProbeResult Open(const std::string&) {
  return ProbeResult::kOpen;
}
ProbeResult All(const std::string&) {
  return ProbeResult::kReplied;
}
ProbeResult RepliedIf(bool is_reached) {
  return is_reached ? ProbeResult::kReplied : ProbeResult::kFailed;
}

}  // namespace

TEST_CASE("a node that reaches no server is cut off") {
  const size_t servers = GENERATE(1, 2, 7, 900);
  CAPTURE(servers);
  Node node(servers, 1);

  SECTION("nothing is probed while calls succeed") {
    node.Probe(None);
    CHECK(node.probes_ == 0);
    CHECK_FALSE(node.reach_.is_cut_off());
  }

  SECTION("found out at the first failure") {
    node.reach_.OnFailure();
    node.Probe(None);
    CHECK(node.reach_.is_cut_off());
    CHECK(node.probes_ <= 11);

    // Nothing more is probed at once.
    node.Probe(All);
    CHECK(node.reach_.is_cut_off());

    node.now_ += milliseconds(500);
    node.Probe(All);
    CHECK_FALSE(node.reach_.is_cut_off());
  }

  SECTION("a failure elsewhere costs one probe each half second") {
    for (int i = 0; i < 100; ++i) {
      node.reach_.OnFailure();
      node.Probe(All);
      node.now_ += milliseconds(10);
    }
    CHECK(node.probes_ == 2);
  }
}

// Links that took connections and reset them late, or lost what was sent,
// counted as reached, and a node without any served nobody.
TEST_CASE("a connection that is taken shows no link") {
  const size_t servers = GENERATE(1, 2, 7, 900);
  CAPTURE(servers);
  Node node(servers, 1);

  SECTION("found out at the first failure") {
    node.reach_.OnFailure();
    node.Probe(Open);
    CHECK(node.reach_.is_cut_off());
    CHECK(node.probes_ <= 11);
  }

  SECTION("does not end a cut") {
    node.reach_.OnFailure();
    node.Probe(None);
    for (int i = 0; i < 100; ++i) {
      node.now_ += milliseconds(500);
      node.Probe(Open);
      CHECK(node.reach_.is_cut_off());
    }
    node.now_ += milliseconds(500);
    node.Probe(All);
    CHECK_FALSE(node.reach_.is_cut_off());
  }

  SECTION("replies before the failure do not count") {
    for (const std::string& address : node.addresses_) {
      node.reach_.OnReply(address);
    }
    node.reach_.OnFailure();
    node.Probe(Open);
    CHECK(node.reach_.is_cut_off());
  }

  SECTION("replies after a failure do not count after the next one") {
    node.reach_.OnFailure();
    for (const std::string& address : node.addresses_) {
      node.reach_.OnReply(address);
    }
    node.Probe(All);
    node.now_ += milliseconds(500);
    node.reach_.OnFailure();
    node.Probe(Open);
    CHECK(node.reach_.is_cut_off());
  }

  SECTION("replies of servers that refuse new connections do not count") {
    node.reach_.OnFailure();
    for (const std::string& address : node.addresses_) {
      node.reach_.OnReply(address);
    }
    node.Probe(None);
    CHECK(node.reach_.is_cut_off());
  }

  SECTION("servers that reply to calls are only slow") {
    for (int i = 0; i < 100; ++i) {
      node.reach_.OnFailure();
      for (const std::string& address : node.addresses_) {
        node.reach_.OnReply(address);
      }
      node.reach_.OnFailure();
      node.Probe(Open);
      CHECK_FALSE(node.reach_.is_cut_off());
      node.now_ += milliseconds(500);
    }
  }
}

// Calls on links that lost all data ended at their time limits only, and until
// then nothing was probed.
TEST_CASE("a call without a reply of any server starts probes") {
  Node node(7, 1);
  node.reach_.OnReply(node.addresses_[0]);
  node.reach_.OnCall(node.now_);
  node.now_ += milliseconds(599);
  node.Probe(None);
  CHECK(node.probes_ == 0);

  SECTION("no reply") {
    node.reach_.OnCall(node.now_);
    node.now_ += milliseconds(1);
    node.Probe(None);
    CHECK(node.reach_.is_cut_off());
  }

  SECTION("a reply of some server") {
    node.reach_.OnReply(node.addresses_[1]);
    node.now_ += seconds(10);
    node.Probe(None);
    CHECK(node.probes_ == 0);
    node.reach_.OnCall(node.now_);
    node.now_ += milliseconds(600);
    node.Probe(None);
    CHECK(node.reach_.is_cut_off());
  }

  SECTION("a long call costs one probe") {
    for (int i = 0; i < 100; ++i) {
      node.now_ += milliseconds(100);
      node.Probe(All);
    }
    CHECK(node.probes_ == 1);
    CHECK_FALSE(node.reach_.is_cut_off());
  }

  SECTION("a call before a cut does not count after it") {
    node.reach_.OnFailure();
    node.Probe(None);
    node.now_ += milliseconds(500);
    node.Probe(All);
    CHECK_FALSE(node.reach_.is_cut_off());
    const size_t probes = node.probes_;
    node.now_ += seconds(10);
    node.Probe(None);
    CHECK(node.probes_ == probes);
  }
}

// A node that reached a few servers by chance took requests that it could not
// serve.
TEST_CASE("a node stays cut off while it reaches few servers") {
  const uint32_t seed = GENERATE(range(1U, 11U));
  Node node(36, seed);
  node.reach_.OnFailure();
  node.Probe(None);
  const std::set<std::string> reachable(node.addresses_.begin(),
                                        node.addresses_.begin() + 3);
  for (int i = 0; i < 200; ++i) {
    node.now_ += milliseconds(500);
    node.Probe([&](const std::string& address) {
      return RepliedIf(reachable.count(address) > 0);
    });
    CHECK(node.reach_.is_cut_off());
  }
}

TEST_CASE("servers that have ended or hang cut no node off") {
  const uint32_t seed = GENERATE(range(1U, 11U));
  const ProbeResult lost = GENERATE(ProbeResult::kFailed, ProbeResult::kOpen);
  Node node(30, seed);
  // A third of the servers.
  const auto reaches = [&](const std::string& address) {
    return address[address.size() - 3] % 3 != 0 ? ProbeResult::kReplied : lost;
  };
  size_t cut_off = 0;
  for (int i = 0; i < 1000; ++i) {
    node.reach_.OnFailure();
    node.Probe(reaches);
    cut_off += node.reach_.is_cut_off() ? 1 : 0;
    node.now_ += milliseconds(500);
  }
  CHECK(cut_off == 0);
}

}  // namespace citronlane
