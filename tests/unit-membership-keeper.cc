#include <catch2/catch.hpp>

#include <string>

#include "citronlane/control/member_address.h"
#include "citronlane/control/membership_keeper.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = MembershipStep::Kind;

/// A cluster as its leader, node 1, observes it: all nodes are in contact
/// except those given as silent.
class Cluster {
 public:
  explicit Cluster(size_t voters, size_t target = 5)
      : keeper_(Options(target)) {
    for (uint64_t id = 1; id <= voters; ++id) {
      membership_.voters_[id] = EndpointAt(id);
    }
    membership_.last_id_ = voters;
    keeper_.StartLeading(membership_, now_);
  }

  static std::string EndpointAt(uint64_t id) {
    return "10.0.0." + std::to_string(id) + ":7000";
  }

  static MembershipKeeper::Options Options(size_t target) {
    MembershipKeeper::Options options;
    options.target_voters_ = target;
    return options;
  }

  void Pass(Duration time, const std::set<uint64_t>& silent = {}) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(50);
      for (const auto* nodes : {&membership_.voters_, &membership_.learners_}) {
        for (const auto& [id, address] : *nodes) {
          if (silent.count(id) == 0) {
            keeper_.RecordContact(id, now_);
          }
        }
      }
    }
  }

  std::optional<MembershipStep> Next() {
    return keeper_.Next(membership_, 1, now_);
  }

  /// Applies the change as the log would.
  void Apply(const MembershipStep& step) {
    if (step.kind_ == Kind::kAddLearner) {
      membership_.learners_[step.id_] = step.address_;
      membership_.last_id_ = step.id_;
    } else if (step.kind_ == Kind::kPromote) {
      membership_.voters_[step.id_] = membership_.learners_[step.id_];
      membership_.learners_.erase(step.id_);
    } else {
      membership_.voters_.erase(step.id_);
      membership_.learners_.erase(step.id_);
    }
  }

  Membership membership_;
  TimePoint now_{seconds(100)};
  MembershipKeeper keeper_;
};

}  // namespace

TEST_CASE("membership keeper") {
  SECTION("a complete cluster is not changed") {
    Cluster cluster(5);
    cluster.Pass(seconds(10));
    CHECK_FALSE(cluster.Next());
  }

  SECTION("VMs that join become learners, then voters up to the target") {
    Cluster cluster(3);
    for (int i = 0; i < 3; ++i) {
      cluster.keeper_.AddJoinRequest("10.0.1." + std::to_string(i) + ":7000",
                                     9);
    }
    int steps = 0;
    while (auto step = cluster.Next()) {
      CHECK(step->kind_ != Kind::kRemove);
      cluster.Apply(*step);
      cluster.Pass(milliseconds(100));
      REQUIRE(++steps < 20);
    }
    CHECK(cluster.membership_.voters_.size() == 5);
    CHECK(cluster.membership_.learners_.size() == 1);
  }

  SECTION("a new learner gets time for its first message") {
    Cluster cluster(3);
    cluster.keeper_.AddJoinRequest("10.0.1.1:7000", 9);
    const auto add = cluster.Next();
    REQUIRE(add);
    REQUIRE(add->kind_ == Kind::kAddLearner);
    cluster.Apply(*add);
    cluster.Pass(milliseconds(500), {add->id_});
    const auto next = cluster.Next();
    CHECK((!next || next->kind_ != Kind::kRemove));
  }

  SECTION("an id is never used twice") {
    Cluster cluster(5);
    cluster.membership_.last_id_ = 40;
    cluster.keeper_.AddJoinRequest("10.0.1.1:7000", 9);
    CHECK(cluster.Next()->id_ == 41);
  }

  SECTION("a VM that returns with an empty disk replaces its old node") {
    Cluster cluster(5);
    cluster.keeper_.AddJoinRequest(Cluster::EndpointAt(4), 77);
    auto step = cluster.Next();
    REQUIRE(step);
    CHECK(step->kind_ == Kind::kRemove);
    CHECK(step->id_ == 4);
    cluster.Apply(*step);
    step = cluster.Next();
    REQUIRE(step);
    CHECK(step->kind_ == Kind::kAddLearner);
    CHECK(step->address_ == MemberAddress(Cluster::EndpointAt(4), 77));
    cluster.Apply(*step);
    cluster.Pass(milliseconds(100));
    step = cluster.Next();
    REQUIRE(step);
    CHECK(step->kind_ == Kind::kPromote);
    cluster.Apply(*step);
    CHECK_FALSE(cluster.Next());
  }

  SECTION("two nodes with lost disks are replaced one after the other") {
    Cluster cluster(5);
    cluster.keeper_.AddJoinRequest(Cluster::EndpointAt(4), 1);
    cluster.keeper_.AddJoinRequest(Cluster::EndpointAt(5), 2);
    cluster.Pass(seconds(1), {4, 5});
    int steps = 0;
    while (auto step = cluster.Next()) {
      cluster.Apply(*step);
      cluster.Pass(milliseconds(100), {4, 5});
      REQUIRE(++steps < 20);
    }
    CHECK(cluster.membership_.voters_.size() == 5);
    CHECK(cluster.membership_.voters_.count(4) == 0);
    CHECK(cluster.membership_.voters_.count(5) == 0);
  }

  SECTION("no change leaves the cluster without a live majority") {
    Cluster cluster(5);
    cluster.keeper_.AddJoinRequest(Cluster::EndpointAt(4), 1);
    // Three of the four others are silent.
    cluster.Pass(seconds(1), {2, 3, 5});
    const auto step = cluster.Next();
    CHECK((!step || step->kind_ != Kind::kRemove));
  }

  SECTION("a voter that is lost for long is replaced by a learner") {
    Cluster cluster(5);
    cluster.keeper_.AddJoinRequest("10.0.1.1:7000", 9);
    cluster.Apply(*cluster.Next());
    cluster.Pass(seconds(2), {3});
    CHECK_FALSE(cluster.Next());
    cluster.Pass(seconds(1), {3});
    auto step = cluster.Next();
    REQUIRE(step);
    CHECK(step->kind_ == Kind::kRemove);
    CHECK(step->id_ == 3);
    cluster.Apply(*step);
    step = cluster.Next();
    REQUIRE(step);
    CHECK(step->kind_ == Kind::kPromote);
  }

  SECTION("without a learner no voter is removed") {
    Cluster cluster(5);
    cluster.Pass(seconds(60), {3});
    CHECK_FALSE(cluster.Next());
  }

  SECTION("a silent learner is removed") {
    Cluster cluster(5);
    cluster.keeper_.AddJoinRequest("10.0.1.1:7000", 9);
    const auto add = cluster.Next();
    cluster.Apply(*add);
    cluster.Pass(seconds(9), {add->id_});
    const auto step = cluster.Next();
    REQUIRE(step);
    CHECK(step->kind_ == Kind::kRemove);
    CHECK(step->id_ == add->id_);
  }
}

TEST_CASE("member addresses") {
  CHECK(EndpointOf("10.0.0.1:7000") == "10.0.0.1:7000");
  CHECK(EndpointOf(MemberAddress("10.0.0.1:7000", 5)) == "10.0.0.1:7000");
  CHECK(MemberAddress("a:1", 5) != MemberAddress("a:1", 6));
}

}  // namespace citronlane
