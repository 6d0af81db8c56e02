#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "citronlane/fleet/division_policy.h"
#include "citronlane/fleet/load_marks.h"
#include "citronlane/fleet/load_meter.h"
#include "citronlane/fleet/pool_assignment.h"
#include "citronlane/fleet/pool_division.h"

namespace citronlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Change = DivisionPolicy::Change;
using Kind = Change::Kind;

constexpr milliseconds kStep{50};
constexpr GatewayCapacity kSmall{0.09, 7.5e6 / 8};
constexpr GatewayCapacity kLarge{0.3, 25e6 / 8};
constexpr const char* kPool = "encode";
/// A request of 6 s that arrives as a burst begins must have half of its time
/// left when its owner can serve it again.
constexpr milliseconds kReliefTime{3000};

/// What a pool, or a gateway without one, costs.
struct Demand {
  double cores_ = 0;
  double bytes_ = 0;
};

/// Gateways that use what their partitions cost, up to their capacity, and tell
/// a leader that divides the pools.
class Fleet {
 public:
  struct Vm {
    std::string endpoint_;
    std::string failure_domain_;
    GatewayCapacity capacity_;
    bool is_lost_ = false;
    bool is_silent_ = false;
    std::unique_ptr<LoadMeter> meter_;
    Duration processor_{};
    double bytes_ = 0;
    /// Seconds of a core that wait.
    double backlog_ = 0;
    TimePoint next_tick_;
    TimePoint next_report_;
    GatewayLoad load_{};
    std::optional<TimePoint> reported_{};
  };

  Fleet() {
    policy_.StartLeading(now_);
    assignment_.StartLeading(now_, 1);
  }

  void AddVms(int count, GatewayCapacity capacity) {
    for (int i = 0; i < count; ++i) {
      Vm vm;
      vm.endpoint_ = "g" + std::to_string(vms_.size());
      vm.failure_domain_ = std::string(1, static_cast<char>('a' + i % 4));
      vm.capacity_ = capacity;
      vm.meter_ = std::make_unique<LoadMeter>(capacity, kStep);
      vm.next_tick_ = now_;
      vm.next_report_ = now_;
      vms_.push_back(std::move(vm));
    }
  }
  void AddPool(const std::string& name,
               const std::map<std::string, int>& counts) {
    services_.push_back({name, false, milliseconds(1100)});
    for (const auto& [domain, count] : counts) {
      for (int i = 0; i < count; ++i) {
        BackendServer server;
        server.id_ = name + domain + std::to_string(i);
        server.service_ = name;
        server.failure_domain_ = domain;
        servers_.push_back(server);
      }
    }
  }
  void AddPool(const std::string& name) {
    AddPool(name, {{"a", 4}, {"b", 4}, {"c", 4}, {"d", 4}});
  }

  /// Passes `time`; the leader updates unless it is paused.
  void Run(Duration time, bool leads = true) {
    for (const TimePoint until = now_ + time; now_ < until;) {
      now_ += kStep;
      for (Vm& vm : vms_) {
        if (!vm.is_lost_) {
          Step(&vm);
        }
      }
      if (leads && now_.time_since_epoch() % milliseconds(200) == Duration()) {
        Lead();
      }
    }
  }
  /// Runs until no owner has more demand than it can carry, for at most
  /// `longest`. Returns the time it took.
  Duration RunUntilRelieved(Duration longest) {
    const TimePoint begun = now_;
    while (now_ - begun < longest && HasOverloadedOwner()) {
      Run(kStep);
    }
    return now_ - begun;
  }

  bool HasOverloadedOwner() const {
    return std::any_of(vms_.begin(), vms_.end(), [this](const Vm& vm) {
      const Demand demand = DemandAt(vm);
      return !OwnedBy(vm.endpoint_).empty() &&
             (demand.cores_ > vm.capacity_.processor_cores_ ||
              demand.bytes_ > vm.capacity_.link_bytes_per_second_);
    });
  }
  size_t PartitionsOf(const std::string& service) const {
    return PoolAssignment::PartitionsAmong(assignment_.owners(), service)
        .size();
  }
  std::vector<PoolPartition> OwnedBy(const std::string& endpoint) const {
    std::vector<PoolPartition> owned;
    for (const auto& [partition, owner] : assignment_.owners()) {
      if (owner == endpoint) {
        owned.push_back(partition);
      }
    }
    return owned;
  }
  Vm& Find(const std::string& endpoint) {
    return *std::find_if(vms_.begin(), vms_.end(), [&](const Vm& vm) {
      return vm.endpoint_ == endpoint;
    });
  }
  /// Another node becomes the leader; gateways tell it the owners.
  void ChangeLeader() {
    const auto owners = assignment_.owners();
    const uint64_t number = assignment_.number();
    assignment_ = PoolAssignment();
    assignment_.Adopt(number, owners);
    assignment_.StartLeading(now_, ++term_);
    policy_ = DivisionPolicy();
    policy_.StartLeading(now_);
    for (Vm& vm : vms_) {
      vm.reported_.reset();
    }
  }
  /// Most changes in any minute.
  size_t MostChangesInAMinute() const {
    size_t most = 0;
    for (size_t first = 0; first < changed_.size(); ++first) {
      size_t last = first;
      while (last < changed_.size() &&
             changed_[last] - changed_[first] < seconds(60)) {
        ++last;
      }
      most = std::max(most, last - first);
    }
    return most;
  }

  std::vector<Vm> vms_;
  std::map<std::string, Demand> demands_;
  Demand base_{0.01, 5e4};
  bool has_clock_ = true;
  std::vector<PooledService> services_;
  std::vector<BackendServer> servers_;
  PoolAssignment assignment_;
  DivisionPolicy policy_;
  std::vector<Change> changes_;
  std::vector<TimePoint> changed_;
  TimePoint now_{seconds(1000)};

 private:
  Demand DemandAt(const Vm& vm) const {
    Demand all = base_;
    for (const PoolPartition& partition : OwnedBy(vm.endpoint_)) {
      const auto demand = demands_.find(partition.service_);
      const auto parts = static_cast<double>(PartitionsOf(partition.service_));
      if (demand != demands_.end()) {
        all.cores_ += demand->second.cores_ / parts;
        all.bytes_ += demand->second.bytes_ / parts;
      }
    }
    return all;
  }

  void Step(Vm* vm) {
    const double passed = std::chrono::duration<double>(kStep).count();
    const Demand demand = DemandAt(*vm);
    const double cores = vm->capacity_.processor_cores_;
    vm->backlog_ += demand.cores_ * passed;
    const double done = std::min(vm->backlog_, cores * passed);
    vm->backlog_ -= done;
    vm->processor_ += microseconds(std::llround(done * 1e6));
    vm->bytes_ +=
        passed * std::min(demand.bytes_, vm->capacity_.link_bytes_per_second_);
    if (now_ < vm->next_tick_) {
      return;
    }
    // A loop handles what has arrived from each peer before its next tick.
    const double late = std::min(vm->backlog_ / cores, 0.2);
    vm->next_tick_ =
        now_ + kStep * (1 + static_cast<int>(late * 1000 / kStep.count()));
    vm->meter_->Sample(now_, has_clock_ ? vm->processor_ : Duration(),
                       static_cast<uint64_t>(vm->bytes_));
    if (now_ >= vm->next_report_ && !vm->is_silent_) {
      const bool is_owner = !OwnedBy(vm->endpoint_).empty();
      vm->next_report_ = now_ + milliseconds(is_owner ? 250 : 1000);
      vm->load_ = vm->meter_->load();
      if (IsKnown(vm->load_)) {
        vm->reported_ = now_;
      }
    }
  }

  void Lead() {
    std::vector<FleetLoad::Gateway> gateways;
    std::vector<PoolAssignment::Gateway> candidates;
    for (const Vm& vm : vms_) {
      if (!vm.is_lost_) {
        candidates.push_back({vm.endpoint_, false, seconds(60),
                              vm.failure_domain_, false, vm.capacity_});
        gateways.push_back({candidates.back(), vm.load_, vm.reported_});
      }
    }
    const auto change = policy_.Update(
        {services_, servers_, gateways, assignment_.owners()}, now_);
    if (change) {
      changes_.push_back(*change);
      changed_.push_back(now_);
      if (change->kind_ == Kind::kMove) {
        assignment_.Move(change->partition_, change->next_owner_);
      }
    }
    assignment_.Update(DividePools(services_, servers_, assignment_.owners(),
                                   policy_.divisions()),
                       candidates, now_);
  }

  uint64_t term_ = 1;
};

size_t Count(const Fleet& fleet, Kind kind) {
  return static_cast<size_t>(
      std::count_if(fleet.changes_.begin(), fleet.changes_.end(),
                    [kind](const Change& one) { return one.kind_ == kind; }));
}

}  // namespace

TEST_CASE("a burst on small VMs") {
  Fleet fleet;
  fleet.AddVms(12, kSmall);
  fleet.AddPool(kPool);
  fleet.demands_[kPool] = {0.03, 1e5};
  fleet.Run(seconds(10));
  REQUIRE(fleet.PartitionsOf(kPool) == 1);
  REQUIRE(fleet.changes_.empty());

  SECTION("that the processor can't carry divides the pool in time") {
    fleet.demands_[kPool].cores_ = 0.25;
    CHECK(fleet.RunUntilRelieved(seconds(20)) <= kReliefTime);
    fleet.Run(seconds(60));
    CHECK(fleet.PartitionsOf(kPool) == 4);
    CHECK(fleet.changes_.size() == 1);
    CHECK_FALSE(fleet.HasOverloadedOwner());
  }
  SECTION("also if the processor's clock says nothing") {
    fleet.has_clock_ = false;
    fleet.Run(seconds(5));
    fleet.demands_[kPool].cores_ = 0.25;
    CHECK(fleet.RunUntilRelieved(seconds(20)) <= kReliefTime);
    fleet.Run(seconds(60));
    CHECK(fleet.changes_.size() == 1);
  }
  SECTION("that the link can't carry divides the pool in time") {
    fleet.demands_[kPool].bytes_ = 2.5e6;
    CHECK(fleet.RunUntilRelieved(seconds(20)) <= kReliefTime);
    CHECK(fleet.PartitionsOf(kPool) == 4);
  }
  // Its owner has done all of it within about half of a target of 1.1 s.
  SECTION("of a moment changes nothing") {
    for (int i = 0; i < 20; ++i) {
      fleet.demands_[kPool].cores_ = 0.25;
      fleet.Run(milliseconds(200));
      fleet.demands_[kPool].cores_ = 0.01;
      fleet.Run(seconds(8));
    }
    CHECK(fleet.changes_.empty());
  }
  // A large configuration, or callers in a burst that needs no pool.
  SECTION("that all gateways have alike changes nothing") {
    for (const double cores : {0.25, 0.01, 0.1, 0.02}) {
      fleet.base_.cores_ = cores;
      fleet.Run(seconds(15));
    }
    CHECK(fleet.changes_.empty());
  }
  SECTION("a new leader amid it changes nothing before loads are reported") {
    fleet.demands_[kPool].cores_ = 0.25;
    fleet.Run(milliseconds(800));
    fleet.ChangeLeader();
    for (auto& vm : fleet.vms_) {
      vm.is_silent_ = true;
    }
    fleet.Run(seconds(20));
    CHECK(fleet.changes_.empty());
    CHECK(fleet.PartitionsOf(kPool) == 1);
    for (auto& vm : fleet.vms_) {
      vm.is_silent_ = false;
    }
    CHECK(fleet.RunUntilRelieved(seconds(20)) <= kReliefTime);
  }
  SECTION("a new leader after it holds the division") {
    fleet.demands_[kPool].cores_ = 0.25;
    fleet.Run(seconds(5));
    REQUIRE(fleet.PartitionsOf(kPool) == 4);
    const auto owners = fleet.assignment_.owners();
    fleet.ChangeLeader();
    fleet.Run(seconds(60));
    CHECK(fleet.assignment_.owners() == owners);
    CHECK(fleet.changes_.size() == 1);
  }
  SECTION("an owner lost while it is divided changes only its partition") {
    fleet.demands_[kPool].cores_ = 0.25;
    fleet.Run(seconds(5));
    const auto before = fleet.assignment_.owners();
    REQUIRE(before.size() == 4);
    fleet.Find(before.begin()->second).is_lost_ = true;
    fleet.Run(seconds(30));
    const auto after = fleet.assignment_.owners();
    REQUIRE(after.size() == 4);
    CHECK(after.begin()->second != before.begin()->second);
    CHECK(std::equal(std::next(before.begin()), before.end(),
                     std::next(after.begin())));
    CHECK(fleet.changes_.size() == 1);
  }
  SECTION("a leader that pauses amid it doesn't act on what it heard before") {
    fleet.demands_[kPool].cores_ = 0.25;
    fleet.Run(milliseconds(1800));
    REQUIRE(fleet.changes_.empty());
    fleet.demands_[kPool].cores_ = 0.01;
    fleet.Run(seconds(8), false);
    fleet.Run(seconds(10));
    CHECK(fleet.changes_.empty());
  }
  SECTION("one that ends is followed by a merge, much later") {
    fleet.demands_[kPool].cores_ = 0.25;
    fleet.Run(seconds(10));
    REQUIRE(fleet.PartitionsOf(kPool) == 4);
    fleet.demands_[kPool] = {0.01, 2e4};
    fleet.base_ = {0.005, 2e4};
    fleet.Run(seconds(55));
    CHECK(fleet.PartitionsOf(kPool) == 4);
    fleet.Run(seconds(15));
    CHECK(fleet.PartitionsOf(kPool) == 1);
    CHECK(Count(fleet, Kind::kMerge) == 1);
    fleet.Run(seconds(300));
    CHECK(fleet.changes_.size() == 2);
  }
  SECTION("a load that a lone owner could carry only just is not merged") {
    fleet.demands_[kPool].cores_ = 0.25;
    fleet.Run(seconds(10));
    fleet.demands_[kPool].cores_ = 0.05;
    fleet.Run(seconds(300));
    CHECK(fleet.PartitionsOf(kPool) == 4);
  }
}

TEST_CASE("three pools in a burst at once") {
  Fleet fleet;
  fleet.AddVms(30, kSmall);
  for (const char* pool : {"a", "b", "c"}) {
    fleet.AddPool(pool);
    fleet.demands_[pool] = {0.25, 1e5};
  }
  // One change at a time, so that each is known everywhere before the next.
  CHECK(fleet.RunUntilRelieved(seconds(30)) <=
        kReliefTime + seconds(2 * 2 + 3));
  fleet.Run(seconds(120));
  CHECK(fleet.changes_.size() == 3);
}

TEST_CASE("uneven VMs") {
  Fleet fleet;
  fleet.AddVms(8, kSmall);
  fleet.AddPool(kPool, {{"a", 2}, {"b", 2}, {"c", 2}});
  fleet.demands_[kPool] = {0.03, 1e5};
  fleet.Run(seconds(5));

  SECTION("a pool that can't be divided moves to a clearly larger one, once") {
    fleet.AddVms(3, kLarge);
    fleet.Run(seconds(10));
    CHECK(fleet.changes_.empty());
    fleet.demands_[kPool].cores_ = 0.15;
    CHECK(fleet.RunUntilRelieved(seconds(20)) <= kReliefTime);
    fleet.Run(seconds(300));
    CHECK(fleet.changes_.size() == 1);
    CHECK(Count(fleet, Kind::kMove) == 1);
    CHECK_FALSE(fleet.HasOverloadedOwner());
  }
  SECTION("it stays where none is clearly larger") {
    fleet.demands_[kPool].cores_ = 0.25;
    const auto owners = fleet.assignment_.owners();
    fleet.Run(seconds(300));
    CHECK(fleet.changes_.empty());
    CHECK(fleet.assignment_.owners() == owners);
  }
  SECTION("a second pool of an overloaded owner moves to one without any") {
    fleet.AddPool("rank", {{"a", 2}, {"b", 2}});
    fleet.demands_["rank"] = {0.03, 1e5};
    fleet.Run(seconds(2));
    fleet.assignment_.Move("rank", fleet.assignment_.owners().at(kPool));
    fleet.Run(seconds(5));
    fleet.demands_[kPool].cores_ = 0.06;
    fleet.demands_["rank"].cores_ = 0.06;
    CHECK(fleet.RunUntilRelieved(seconds(20)) <= kReliefTime);
    fleet.Run(seconds(120));
    CHECK(fleet.changes_.size() == 1);
  }
}

TEST_CASE("loads that swing around the mark") {
  Fleet fleet;
  fleet.AddVms(24, kSmall);
  fleet.AddVms(4, kLarge);
  for (const char* pool : {"a", "b", "c"}) {
    fleet.AddPool(pool);
  }
  fleet.AddPool("whole", {{"a", 2}, {"b", 2}});

  SECTION("change no pool twice within the time of a merge") {
    for (const int period : {1, 3, 7, 20}) {
      for (int i = 0; i < 120 / period; ++i) {
        const double cores = i % 2 == 0 ? 0.4 : 0.01;
        for (const auto& service : fleet.services_) {
          fleet.demands_[service.name_] = {cores, 1e5};
        }
        fleet.Run(seconds(period));
      }
    }
    CHECK(Count(fleet, Kind::kDivide) <= 3);
    CHECK(Count(fleet, Kind::kMerge) == 0);
    CHECK(fleet.MostChangesInAMinute() <= DivisionPolicy::kMaxChangesPerMinute);
  }
}

TEST_CASE("changes in a minute are bounded") {
  CHECK(rc::check("whatever the load does", [] {
    Fleet fleet;
    fleet.AddVms(8, kSmall);
    fleet.AddVms(3, kLarge);
    fleet.AddPool("a");
    fleet.AddPool("b", {{"a", 2}, {"b", 2}});
    fleet.AddPool("c", {{"a", 2}, {"b", 2}});
    for (int i = 0; i < 12; ++i) {
      for (const auto& service : fleet.services_) {
        fleet.demands_[service.name_] = {*rc::gen::inRange(0, 60) / 100.0,
                                         *rc::gen::inRange(0, 40) * 1e5};
      }
      const size_t index = *rc::gen::inRange<size_t>(0, fleet.vms_.size());
      fleet.vms_[index].is_lost_ = *rc::gen::inRange(0, 4) == 0;
      fleet.vms_[index].is_silent_ = *rc::gen::inRange(0, 4) == 0;
      fleet.Run(seconds(*rc::gen::inRange(1, 30)));
    }
    RC_ASSERT(fleet.MostChangesInAMinute() <=
              DivisionPolicy::kMaxChangesPerMinute);
  }));
}

TEST_CASE("reports that prove nothing") {
  const std::vector<PooledService> services{{kPool, false, seconds(1)}};
  std::vector<BackendServer> servers;
  for (int i = 0; i < 16; ++i) {
    BackendServer server;
    server.id_ = std::to_string(i);
    server.service_ = kPool;
    server.failure_domain_ = std::string(1, static_cast<char>('a' + i % 4));
    servers.push_back(server);
  }
  const PoolAssignment::Owners owners{{kPool, "g0"}};
  DivisionPolicy policy;
  TimePoint now{seconds(100)};
  policy.StartLeading(now);
  std::vector<FleetLoad::Gateway> gateways(4);
  for (size_t i = 0; i < gateways.size(); ++i) {
    gateways[i].gateway_.endpoint_ = "g" + std::to_string(i);
    gateways[i].gateway_.age_ = seconds(60);
    gateways[i].gateway_.capacity_ = kSmall;
  }
  const auto changes = [&](Duration time, const auto& report) {
    size_t count = 0;
    for (const TimePoint until = now + time; now < until;) {
      now += milliseconds(200);
      report();
      count +=
          policy.Update({services, servers, gateways, owners}, now) ? 1 : 0;
    }
    return count;
  };
  const GatewayLoad overload{1.0, 0.2, milliseconds(300)};

  SECTION("one, then silence") {
    gateways[0].load_ = overload;
    gateways[0].reported_ = now;
    CHECK(changes(seconds(30), [] {}) == 0);
  }
  SECTION("one that is minutes old") {
    gateways[0].load_ = overload;
    gateways[0].reported_ = now - seconds(120);
    CHECK(changes(seconds(30), [] {}) == 0);
  }
  SECTION("of the time of another leader") {
    CHECK(changes(seconds(2), [] {}) == 0);
    policy.StartLeading(now);
    gateways[0].load_ = overload;
    gateways[0].reported_ = now - milliseconds(1);
    CHECK(changes(seconds(1), [] {}) == 0);
  }
  SECTION("of a gateway that owns nothing") {
    gateways[1].load_ = overload;
    CHECK(changes(seconds(30), [&] { gateways[1].reported_ = now; }) == 0);
  }
  SECTION("of a gateway that has just started") {
    gateways[0].load_ = overload;
    gateways[0].gateway_.age_ = seconds(2);
    CHECK(changes(seconds(30), [&] { gateways[0].reported_ = now; }) == 0);
  }
  SECTION("none at all") {
    CHECK(changes(seconds(30), [] {}) == 0);
    CHECK(policy.divisions().empty());
  }
  SECTION("but some in a row do") {
    gateways[0].load_ = overload;
    CHECK(changes(seconds(3), [&] { gateways[0].reported_ = now; }) == 1);
  }
}

TEST_CASE("a late loop counts by the targets of its callers") {
  const std::vector<PoolPartition> owned{kPool};
  const auto mark = [&owned](milliseconds target) {
    const std::vector<PooledService> services{
        {kPool, false, target}, {"other", false, milliseconds(10)}};
    return LagMark(services, owned);
  };
  // Six passes through loops that late take no more than a third of a target.
  for (const int target : {300, 1100}) {
    CHECK(mark(milliseconds(target)) * 6 * 3 <= milliseconds(target));
    CHECK(mark(milliseconds(target)) * 7 * 3 > milliseconds(target));
  }
  // A long target is no reason to let an owner fall behind for long.
  CHECK(mark(seconds(60)) == mark(milliseconds(0)));
}

TEST_CASE("pools whose load is not known are divided by their servers") {
  Fleet fleet;
  fleet.AddVms(12, kSmall);
  fleet.AddPool(kPool, {{"a", 9}, {"b", 9}, {"c", 9}});
  for (auto& vm : fleet.vms_) {
    vm.is_silent_ = true;
  }
  fleet.Run(seconds(20));
  CHECK(fleet.PartitionsOf(kPool) == 3);
  CHECK(fleet.policy_.divisions().empty());
  // Much smaller: merged as before, without a load that says otherwise.
  fleet.servers_.resize(10);
  fleet.Run(seconds(20));
  CHECK(fleet.PartitionsOf(kPool) == 1);
  CHECK(fleet.changes_.empty());
}

}  // namespace citronlane
