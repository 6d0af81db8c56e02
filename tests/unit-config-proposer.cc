#include <catch2/catch.hpp>

#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/state/config_proposer.h"
#include "citronlane/state/config_register.h"
#include "support/route_document.h"

namespace citronlane {
namespace {

/// A replicated log that commits on the test's request.
class Log {
 public:
  struct Entry {
    std::string command_;
    ConfigProposer::Done done_;
  };

  Log() : proposer_(&config_, HooksOf()) {}

  void Submit(uint64_t version, const std::string& document) {
    proposer_.Submit(version, document,
                     [this, version](bool is_committed, const std::string&) {
                       ended_.emplace_back(version, is_committed);
                     });
  }

  /// Commits the oldest entry.
  void Commit() {
    const Entry entry = Take();
    config_.Apply(entry.command_);
    entry.done_(true, "");
  }

  /// Fails the oldest entry, as when this VM loses the leadership.
  void LoseLeadership() { Take().done_(false, "lost"); }

  ConfigRegister config_;
  std::deque<Entry> entries_;
  /// Versions whose submissions ended, and whether they are committed.
  std::vector<std::pair<uint64_t, bool>> ended_;
  bool all_apply_differences_ = true;

 private:
  ConfigProposer::Hooks HooksOf() {
    ConfigProposer::Hooks hooks;
    hooks.propose_ = [this](std::string command, ConfigProposer::Done done) {
      entries_.push_back({std::move(command), std::move(done)});
    };
    hooks.all_apply_differences_ = [this] { return all_apply_differences_; };
    return hooks;
  }

  Entry Take() {
    REQUIRE_FALSE(entries_.empty());
    Entry entry = std::move(entries_.front());
    entries_.pop_front();
    return entry;
  }

  ConfigProposer proposer_;
};

/// Three control VMs with one log and one leader at a time.
class Cluster {
 public:
  Log& leader() { return members_[leader_]; }

  void Submit(uint64_t version) {
    leader().Submit(version, RouteDocument(version, 3));
    RC_ASSERT(leader().entries_.size() <= 1);
  }

  /// Commits and applies the leader's oldest entry; the others apply it later.
  void Commit() {
    if (leader().entries_.empty()) {
      return;
    }
    committed_.push_back(leader().entries_.front().command_);
    const uint64_t before = Version(leader_);
    leader().Commit();
    applied_[leader_] = committed_.size();
    RC_ASSERT(Version(leader_) >= before);
  }

  /// Makes `member` the leader. The entry of the previous leader is committed
  /// all the same, or lost.
  void Elect(size_t member, bool keeps_entry) {
    if (member == leader_) {
      return;
    }
    if (!leader().entries_.empty()) {
      if (keeps_entry) {
        committed_.push_back(leader().entries_.front().command_);
      }
      while (!leader().entries_.empty()) {
        leader().LoseLeadership();
      }
    }
    leader_ = member;
    CatchUp(member, committed_.size());
  }

  void CatchUp(size_t member, size_t index) {
    while (applied_[member] < index) {
      const uint64_t before = Version(member);
      members_[member].config_.Apply(committed_[applied_[member]++]);
      RC_ASSERT(Version(member) >= before);
    }
  }

  void ApplyOne(size_t member) {
    CatchUp(member, std::min(applied_[member] + 1, committed_.size()));
  }

  void CheckConvergence() {
    while (!leader().entries_.empty()) {
      Commit();
    }
    for (size_t i = 0; i < members_.size(); ++i) {
      CatchUp(i, committed_.size());
      const ConfigRegister& config = members_[i].config_;
      RC_ASSERT(Version(i) == Version(leader_));
      RC_ASSERT(config.is_empty() ||
                config.document() == RouteDocument(config.version(), 3));
    }
    for (const Log& member : members_) {
      for (const auto& [version, is_committed] : member.ended_) {
        RC_ASSERT(!is_committed || leader().config_.Holds(version));
      }
    }
  }

  size_t calls() const {
    size_t calls = 0;
    for (const Log& member : members_) {
      calls += member.ended_.size();
    }
    return calls;
  }

 private:
  uint64_t Version(size_t member) const {
    const ConfigRegister& config = members_[member].config_;
    return config.is_empty() ? 0 : config.version();
  }

  std::array<Log, 3> members_;
  std::array<size_t, 3> applied_{};
  std::vector<std::string> committed_;
  size_t leader_ = 0;
};

using Ended = std::vector<std::pair<uint64_t, bool>>;

constexpr size_t kRoutes = 4200;

}  // namespace

// Guards against a log that grows by a full document with each change, however
// little it changes and however many changes arrive at once.
TEST_CASE("the log grows only by what a change changes") {
  Log log;
  log.Submit(1, RouteDocument(1, kRoutes));
  REQUIRE(log.entries_.size() == 1);
  log.Commit();
  CHECK(log.ended_ == Ended{{1, true}});
  log.ended_.clear();

  SECTION("a small change in a large document") {
    log.Submit(2, RouteDocument(2, kRoutes));
    REQUIRE(log.entries_.size() == 1);
    CHECK(log.entries_.front().command_.size() < 1024);
    log.Commit();
    CHECK(log.config_.document() == RouteDocument(2, kRoutes));
    CHECK(log.ended_ == Ended{{2, true}});
  }
  SECTION("the highest of several waiting versions is proposed for all") {
    for (const uint64_t version : {5, 9, 7, 3}) {
      log.Submit(version, RouteDocument(version, kRoutes));
    }
    REQUIRE(log.entries_.size() == 1);
    log.Commit();
    CHECK(log.config_.version() == 5);
    REQUIRE(log.entries_.size() == 1);
    log.Commit();
    CHECK(log.config_.document() == RouteDocument(9, kRoutes));
    CHECK(log.entries_.empty());
    CHECK(log.ended_.size() == 4);
    for (const auto& [version, is_committed] : log.ended_) {
      CHECK(is_committed);
    }
  }
  SECTION("a full document while a member can not apply differences") {
    log.all_apply_differences_ = false;
    log.Submit(2, RouteDocument(2, kRoutes));
    REQUIRE(log.entries_.size() == 1);
    CHECK(log.entries_.front().command_ ==
          ConfigRegister::Command(2, RouteDocument(2, kRoutes)));
  }
  SECTION("a full document once an earlier leader's entry changed the base") {
    log.Submit(5, RouteDocument(5, kRoutes));
    log.config_.Apply(ConfigRegister::Command(4, "earlier"));
    log.Commit();
    CHECK(log.ended_.empty());
    REQUIRE(log.entries_.size() == 1);
    log.Commit();
    CHECK(log.config_.document() == RouteDocument(5, kRoutes));
    CHECK(log.ended_ == Ended{{5, true}});
  }
}

TEST_CASE("a document that is not known to be committed") {
  Log log;
  log.Submit(5, "five");
  log.Submit(4, "four");
  log.Submit(6, "six");

  SECTION("fails the submissions up to its version, and no others") {
    log.LoseLeadership();
    CHECK(log.ended_.size() == 2);
    for (const auto& [version, is_committed] : log.ended_) {
      CHECK(version <= 5);
      CHECK_FALSE(is_committed);
    }
    log.Commit();
    CHECK(log.config_.document() == "six");
    CHECK(log.ended_.back() == std::pair<uint64_t, bool>(6, true));
  }
  SECTION("can be sent again") {
    log.LoseLeadership();
    log.LoseLeadership();
    CHECK(log.ended_.size() == 3);
    log.Submit(5, "five");
    log.Commit();
    CHECK(log.config_.version() == 5);
    CHECK(log.ended_.back() == std::pair<uint64_t, bool>(5, true));
  }
}

TEST_CASE("acknowledged versions survive a change of leader") {
  CHECK(rc::check("versions never decrease and all members converge", [] {
    Cluster cluster;
    const auto steps = *rc::gen::inRange(1, 60);
    size_t submitted = 0;
    uint64_t newest = 0;
    for (int step = 0; step < steps; ++step) {
      const auto member = *rc::gen::inRange<size_t>(0, 3);
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
          newest += *rc::gen::inRange<uint64_t>(1, 4);
          // Changes may arrive out of order.
          cluster.Submit(newest - *rc::gen::inRange<uint64_t>(0, 2));
          ++submitted;
          break;
        case 2:
          cluster.Commit();
          break;
        case 3:
          cluster.ApplyOne(member);
          break;
        default:
          cluster.Elect(member, *rc::gen::arbitrary<bool>());
      }
    }
    cluster.CheckConvergence();
    RC_ASSERT(cluster.calls() == submitted);
  }));
}

TEST_CASE("a version that is held already is not proposed") {
  Log log;
  log.config_.Apply(ConfigRegister::Command(7, "seven"));
  log.Submit(6, "six");
  log.Submit(7, "other content");
  CHECK(log.entries_.empty());
  CHECK(log.ended_ == Ended{{6, true}, {7, true}});
}

}  // namespace citronlane
