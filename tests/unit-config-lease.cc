#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "citronlane/fleet/config_lease.h"
#include "citronlane/fleet/in_force_tracker.h"
#include "citronlane/fleet/server_states.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;

constexpr Duration kLength = std::chrono::seconds(3);

TimePoint At(int64_t ms) {
  return TimePoint(milliseconds(ms));
}

LeaseVote Vote(uint64_t node, uint64_t newest, int64_t sent_ms) {
  return {node, {1, 2, 3}, newest, At(sent_ms)};
}

// Voters as lease renewals find them: each one's newest version rises as
// entries reach it, and a version is committed once any majority has it.
struct Voters {
  std::vector<uint64_t> newest_ = {1, 1, 1, 1, 1};
  std::vector<std::pair<uint64_t, TimePoint>> commits_;

  uint64_t Committed() const {
    std::vector<uint64_t> sorted = newest_;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() / 2];
  }
  void Append(size_t voter, TimePoint now) {
    const uint64_t before = Committed();
    ++newest_[voter];
    if (Committed() > before) {
      commits_.emplace_back(Committed(), now);
    }
  }
};

// Runs one random schedule. Returns whether the lease was ever valid for a
// version although a newer one had been committed for the lease's length.
bool OutlivesCommit(uint32_t seed) {
  std::mt19937 random(seed);
  const auto below = [&random](int64_t limit) {
    return static_cast<int64_t>(random() % limit);
  };
  const std::vector<uint64_t> members = {1, 2, 3, 4, 5};
  ConfigLease lease(kLength);
  lease.Accept(1);
  Voters voters;
  std::vector<std::pair<int64_t, LeaseVote>> replies;
  for (int64_t now = 1; now < 20000; now += 1 + below(200)) {
    if (below(6) == 0) {
      voters.Append(below(5), At(now));
    }
    if (below(20) == 0) {
      lease.Accept(voters.Committed() - below(2));
    }
    const size_t voter = below(5);
    // Both the request and its reply are delayed.
    replies.emplace_back(
        now + below(2500),
        LeaseVote{voter + 1, members, voters.newest_[voter],
                  At(now - std::min<int64_t>(now - 1, below(300)))});
    for (auto& [due, vote] : replies) {
      if (due <= now) {
        lease.OnVote(vote);
        due = INT64_MAX;
      }
    }
    for (const auto& [version, time] : voters.commits_) {
      if (lease.IsValid(At(now)) && lease.version() < version &&
          At(now) >= time + kLength) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

TEST_CASE("configuration lease") {
  ConfigLease lease(kLength);
  REQUIRE(lease.Accept(4));

  SECTION("needs a majority") {
    lease.OnVote(Vote(1, 4, 1000));
    CHECK_FALSE(lease.IsValid(At(1000)));
    lease.OnVote(Vote(2, 4, 1200));
    CHECK(lease.IsValid(At(1000)));
  }
  SECTION("expires at its length after the request was sent") {
    lease.OnVote(Vote(1, 4, 1000));
    lease.OnVote(Vote(2, 4, 1200));
    lease.OnVote(Vote(2, 4, 9000));  // Voter 1 no longer replies.
    CHECK(lease.valid_until() == At(1000 + 2970));
    CHECK(lease.IsValid(At(3969)));
    CHECK_FALSE(lease.IsValid(At(3970)));
  }
  SECTION("is not renewed by voters that know a newer version") {
    lease.OnVote(Vote(1, 5, 1000));
    lease.OnVote(Vote(2, 4, 1000));
    CHECK_FALSE(lease.IsValid(At(1000)));
    SECTION("until that version is in force here") {
      REQUIRE(lease.Accept(5));
      CHECK(lease.IsValid(At(1000)));
    }
  }
  SECTION("does not combine replies of two memberships") {
    lease.OnVote({1, {1, 2, 3}, 4, At(1000)});
    lease.OnVote({2, {1, 2, 3, 4}, 4, At(1000)});
    CHECK_FALSE(lease.IsValid(At(1000)));
    lease.OnVote({3, {1, 2, 3, 4}, 4, At(1000)});
    CHECK_FALSE(lease.IsValid(At(1000)));
    lease.OnVote({4, {1, 2, 3, 4}, 4, At(1000)});
    CHECK(lease.IsValid(At(1000)));
  }
  SECTION("does not count nodes outside the membership") {
    lease.OnVote(Vote(1, 4, 1000));
    lease.OnVote(Vote(9, 4, 1000));
    CHECK_FALSE(lease.IsValid(At(1000)));
  }
  SECTION("never takes a lower or equal version") {
    CHECK_FALSE(lease.Accept(4));
    CHECK_FALSE(lease.Accept(3));
    CHECK(lease.version() == 4);
  }
  SECTION("never outlives a commit by more than its length") {
    for (uint32_t seed = 0; seed < 10000; ++seed) {
      INFO("seed " << seed);
      REQUIRE_FALSE(OutlivesCommit(seed));
    }
  }
}

TEST_CASE("in force everywhere") {
  InForceTracker tracker(kLength, At(0));
  tracker.OnRegistered("a", 1);
  tracker.OnRegistered("b", 1);
  tracker.OnCommitted(7, At(10000));

  SECTION("once every gateway reports") {
    tracker.OnReport("a", 1, 7);
    CHECK(tracker.StatusOf(7, At(10001)).silent_ ==
          std::vector<std::string>{"b"});
    CHECK_FALSE(tracker.StatusOf(7, At(10001)).in_force_);
    tracker.OnReport("b", 1, 8);
    CHECK(tracker.StatusOf(7, At(10001)).in_force_);
  }
  SECTION("or once the leases of the others have expired") {
    tracker.OnReport("a", 1, 7);
    CHECK_FALSE(tracker.StatusOf(7, At(13029)).in_force_);
    CHECK(tracker.StatusOf(7, At(13030)).in_force_);
    CHECK(tracker.StatusOf(7, At(13030)).silent_ ==
          std::vector<std::string>{"b"});
  }
  SECTION("a report of another incarnation does not count") {
    tracker.OnReport("a", 1, 7);
    tracker.OnReport("b", 2, 7);
    CHECK_FALSE(tracker.StatusOf(7, At(10001)).in_force_);
  }
  SECTION("a removed gateway may still hold its lease") {
    tracker.OnReport("a", 1, 7);
    tracker.OnReport("b", 1, 7);
    tracker.OnRemoved("b", 1, At(11000));
    tracker.OnCommitted(8, At(11500));
    tracker.OnReport("a", 1, 8);
    CHECK_FALSE(tracker.StatusOf(8, At(11600)).in_force_);
    CHECK(tracker.StatusOf(8, At(14530)).in_force_);
  }
  SECTION("a new process waits for leases granted before it started") {
    InForceTracker fresh(kLength, At(10000));
    fresh.OnCommitted(7, At(10000));
    CHECK_FALSE(fresh.StatusOf(7, At(13029)).in_force_);
    CHECK(fresh.StatusOf(7, At(13030)).in_force_);
  }
  SECTION("a version that is not committed is not in force") {
    CHECK_FALSE(tracker.StatusOf(8, At(60000)).in_force_);
  }
}

TEST_CASE("server states") {
  ServerStates states;
  REQUIRE(states.Merge("s", {5, false}));

  SECTION("an old list never reactivates a server") {
    REQUIRE(states.Merge("s", {5, true}));
    CHECK_FALSE(states.Merge("s", {5, false}));
    CHECK_FALSE(states.Merge("s", {4, false}));
    CHECK(states.states().at("s").leaving_);
  }
  SECTION("a later incarnation does") {
    states.Merge("s", {5, true});
    CHECK(states.Merge("s", {6, false}));
    CHECK_FALSE(states.states().at("s").leaving_);
  }
  SECTION("an old list does not replace a later incarnation") {
    CHECK_FALSE(states.Merge("s", {4, true}));
  }
  SECTION("leaving in an unknown incarnation applies to the present one") {
    CHECK(states.Merge("s", {0, true}));
    CHECK(states.states().at("s") == ServerState{5, true});
    states.Merge("t", {0, true});
    states.Merge("t", {3, false});
    CHECK(states.states().at("t") == ServerState{3, true});
  }
  SECTION("the order of observations does not matter") {
    std::mt19937 random(1);
    for (int round = 0; round < 1000; ++round) {
      std::vector<ServerState> observed(6);
      for (ServerState& state : observed) {
        state = {1 + random() % 3, random() % 2 == 0};
      }
      ServerStates first;
      ServerStates second;
      for (const ServerState& state : observed) {
        first.Merge("s", state);
      }
      std::shuffle(observed.begin(), observed.end(), random);
      for (const ServerState& state : observed) {
        second.Merge("s", state);
      }
      REQUIRE(first.states() == second.states());
    }
  }
}

}  // namespace citronlane
