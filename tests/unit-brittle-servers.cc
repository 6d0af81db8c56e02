// Guards against servers that are made to fall over: gateways that together
// send them more calls than they have room for, and repeat those that were
// refused; and against a service that its servers' brittleness takes away from
// callers.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/routing/brittle_servers.h"
#include "citronlane/routing/server_limits.h"
#include "citronlane/serving/backend_server.h"
#include "support/call_windows.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Scope = CallScope;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr char kService[] = "service";
/// When servers begin to say that they are brittle, and when they have less
/// room.
constexpr Duration kBrittleFrom = seconds(1);
constexpr Duration kFullFrom = seconds(4);
constexpr Duration kEnd = seconds(24);
/// How long a request waits at its gateway for room.
constexpr Duration kPatience = milliseconds(150);

BackendServer Listed(const std::string& id, uint32_t slots) {
  BackendServer server;
  server.id_ = id;
  server.service_ = kService;
  server.slots_ = slots;
  return server;
}

std::vector<std::string> Names(size_t gateways) {
  std::vector<std::string> names;
  for (size_t i = 0; i < gateways; ++i) {
    names.push_back("10.0.0." + std::to_string(i) + ":7");
  }
  return names;
}

struct Scenario {
  size_t gateways_ = 3;
  Scope scope_ = Scope::kShare;
  size_t servers_ = 3;
  uint32_t slots_ = 6;
  /// Calls that servers let wait at first, and later.
  uint32_t queue_ = 24;
  uint32_t brittle_queue_ = 0;
  /// Calls that a server runs at a time, if it is less than its slots.
  uint32_t running_ = 6;
  double max_refusals_ = 3;
  milliseconds call_time_{30};
  /// Requests a second, at all gateways together.
  uint32_t demand_ = 900;
  /// The gateway that places all calls is replaced by one that knows of none.
  Duration owner_lost_at_{};
  bool is_bounded_ = true;
};

/// Gateways that call the servers of a service, in simulated time. With the
/// scope kOwner the calls of all gateways are placed by the first one.
class Fleet {
 public:
  Fleet(const Scenario& scenario, uint32_t seed)
      : scenario_(scenario), random_(seed), servers_(scenario.servers_) {
    const bool has_owner = scenario.scope_ == Scope::kOwner;
    for (const std::string& name : Names(scenario.gateways_)) {
      if (gateways_.empty() || !has_owner) {
        gateways_.push_back(NewGateway(name));
      }
    }
  }

  void Play() {
    for (; now_ < kStart + kEnd; now_ += milliseconds(1)) {
      while (!messages_.empty() && messages_.begin()->first <= now_) {
        const auto what = std::move(messages_.begin()->second);
        messages_.erase(messages_.begin());
        what();
      }
      Change();
      demand_due_ += scenario_.demand_ / 1000.0;
      for (; demand_due_ >= 1; demand_due_ -= 1) {
        gateways_[Draw(gateways_.size())].waiting_.push_back(now_);
      }
      for (Gateway& gateway : gateways_) {
        SendWaiting(&gateway);
      }
    }
  }

  /// The most calls that one server refused in a second, since it has less
  /// room.
  size_t MostRefused() const {
    size_t most = 0;
    for (const Server& server : servers_) {
      most = std::max(most, MostInAWindow(server.refused_, seconds(1)));
    }
    return most;
  }
  /// Calls that ended in a second, from some seconds after the servers have
  /// less room.
  double PerSecond() const {
    return static_cast<double>(served_) /
           std::chrono::duration<double>(kEnd - kCountFrom).count();
  }
  /// The fewest calls of a gateway that were served.
  size_t FewestServed() const {
    size_t fewest = SIZE_MAX;
    for (const Gateway& gateway : gateways_) {
      fewest = std::min(fewest, gateway.served_);
    }
    return fewest;
  }

 private:
  static constexpr Duration kCountFrom = seconds(8);

  struct Gateway {
    std::string name_;
    std::unique_ptr<BrittleServers> bounds_;
    std::vector<TimePoint> waiting_;
    size_t served_ = 0;
    /// Rises when the gateway is replaced.
    int incarnation_ = 0;
  };
  struct Server {
    uint32_t running_ = 0;
    std::vector<std::function<void()>> queue_;
    std::vector<TimePoint> refused_;
  };

  static std::string Id(size_t server) {
    return "server-" + std::to_string(server);
  }

  Gateway NewGateway(const std::string& name) const {
    Gateway gateway{name, std::make_unique<BrittleServers>(name), {}, 0, 0};
    gateway.bounds_->SetGateways(Names(scenario_.gateways_));
    std::vector<BackendServer> listed;
    for (size_t i = 0; i < scenario_.servers_; ++i) {
      listed.push_back(Listed(Id(i), scenario_.slots_));
    }
    gateway.bounds_->SetServers(listed);
    return gateway;
  }

  uint64_t Draw(uint64_t below) {
    return random_() % std::max<uint64_t>(1, below);
  }
  void Later(Duration delay, std::function<void()> what) {
    messages_.emplace(now_ + delay, std::move(what));
  }
  milliseconds MessageDelay() { return milliseconds(1 + Draw(4)); }

  void Change() {
    if (now_ == kStart + kBrittleFrom && scenario_.is_bounded_) {
      // Told by replies and control, at different times.
      for (size_t i = 0; i < gateways_.size(); ++i) {
        Later(milliseconds(Draw(1500)), [this, i] { Tell(i); });
      }
    }
    if (scenario_.owner_lost_at_ > Duration() &&
        now_ == kStart + scenario_.owner_lost_at_) {
      const int before = gateways_[0].incarnation_;
      gateways_[0] = NewGateway(gateways_[0].name_);
      gateways_[0].incarnation_ = before + 1;
      Tell(0);
    }
  }
  void Tell(size_t gateway) {
    for (size_t i = 0; i < scenario_.servers_; ++i) {
      gateways_[gateway].bounds_->SetBrittle(Id(i), scenario_.max_refusals_);
    }
  }

  void SendWaiting(Gateway* gateway) {
    auto& waiting = gateway->waiting_;
    while (!waiting.empty()) {
      if (now_ - waiting.front() > kPatience) {
        waiting.erase(waiting.begin());
        continue;
      }
      const auto full = gateway->bounds_->Full(scenario_.scope_, now_);
      std::vector<size_t> usable;
      for (size_t i = 0; i < servers_.size(); ++i) {
        if (std::find(full.begin(), full.end(), Id(i)) == full.end()) {
          usable.push_back(i);
        }
      }
      if (usable.empty()) {
        return;
      }
      waiting.erase(waiting.begin());
      Send(gateway - gateways_.data(), usable[Draw(usable.size())]);
    }
  }

  void Send(size_t gateway, size_t server) {
    gateways_[gateway].bounds_->OnCall(Id(server), now_);
    const int incarnation = gateways_[gateway].incarnation_;
    Later(MessageDelay(), [this, gateway, server, incarnation] {
      Arrive(gateway, server, incarnation);
    });
  }

  uint32_t Queue() const {
    return now_ < kStart + kFullFrom ? scenario_.queue_
                                     : scenario_.brittle_queue_;
  }

  void Arrive(size_t gateway, size_t index, int incarnation) {
    Server& server = servers_[index];
    const auto reply = [this, gateway, index, incarnation](bool is_refused) {
      Later(MessageDelay(), [this, gateway, index, incarnation, is_refused] {
        End(gateway, index, incarnation, is_refused);
      });
    };
    const uint32_t most = std::min(scenario_.running_, scenario_.slots_);
    const auto run = [this, index, reply] {
      ++servers_[index].running_;
      const auto least = scenario_.call_time_ / 2;
      const milliseconds took =
          least + milliseconds(Draw(scenario_.call_time_.count() + 1));
      Later(took, [this, index, reply] {
        reply(false);
        Server& done = servers_[index];
        --done.running_;
        if (!done.queue_.empty()) {
          const auto next = std::move(done.queue_.front());
          done.queue_.erase(done.queue_.begin());
          next();
        }
      });
    };
    if (server.running_ < most) {
      run();
    } else if (server.queue_.size() < Queue()) {
      server.queue_.push_back(run);
    } else {
      if (now_ >= kStart + kFullFrom) {
        server.refused_.push_back(now_);
      }
      reply(true);
    }
  }

  void End(size_t gateway, size_t server, int incarnation, bool is_refused) {
    Gateway& called = gateways_[gateway];
    if (called.incarnation_ == incarnation) {
      called.bounds_->OnEnd(Id(server), is_refused, now_);
    }
    if (!is_refused && now_ >= kStart + kCountFrom) {
      ++called.served_;
      ++served_;
    }
  }

  const Scenario scenario_;
  std::mt19937 random_;
  std::vector<Server> servers_;
  std::vector<Gateway> gateways_;
  std::multimap<TimePoint, std::function<void()>> messages_;
  TimePoint now_ = kStart;
  double demand_due_ = 0;
  size_t served_ = 0;
};

TEST_CASE("brittle servers are not made to refuse too many calls") {
  Scenario scenario;
  const auto seed = GENERATE(1U, 2U, 3U);

  SECTION("without the bounds they are") {
    scenario.is_bounded_ = false;
    Fleet fleet(scenario, seed);
    fleet.Play();
    CHECK(fleet.MostRefused() > 3);
  }
  SECTION("by gateways that each decide on their own calls") {
    scenario.gateways_ = GENERATE(1, 3, 8);
    Fleet fleet(scenario, seed);
    fleet.Play();
    CAPTURE(scenario.gateways_);
    CHECK(fleet.MostRefused() <= 3);
    // Of 600 that the servers can run.
    CHECK(fleet.PerSecond() >= 450);
    CHECK(fleet.FewestServed() > 0);
  }
  SECTION("by more gateways than there are slots") {
    scenario.gateways_ = 30;
    scenario.demand_ = GENERATE(90, 900);
    Fleet fleet(scenario, seed);
    fleet.Play();
    CAPTURE(scenario.demand_);
    CHECK(fleet.MostRefused() <= 3);
    CHECK(fleet.PerSecond() >= (scenario.demand_ == 90 ? 60 : 300));
  }
  SECTION("by the owner of a pool whose servers run a call at a time") {
    scenario.scope_ = Scope::kOwner;
    scenario.slots_ = 1;
    scenario.running_ = 1;
    scenario.queue_ = 2;
    scenario.call_time_ = milliseconds(200);
    scenario.demand_ = 30;
    Fleet fleet(scenario, seed);
    fleet.Play();
    CHECK(fleet.MostRefused() == 0);
    // Of 15 that the servers can run.
    CHECK(fleet.PerSecond() >= 12);
  }
}

TEST_CASE("brittle engines are not made to refuse too many calls") {
  Scenario scenario;
  scenario.scope_ = Scope::kOwner;
  scenario.servers_ = 6;
  scenario.slots_ = 64;
  scenario.running_ = 64;
  scenario.queue_ = 192;
  scenario.brittle_queue_ = 2;
  scenario.call_time_ = milliseconds(2000);
  scenario.demand_ = 250;
  scenario.max_refusals_ = GENERATE(2, 5, 20);
  const auto seed = GENERATE(1U, 2U);
  CAPTURE(scenario.max_refusals_, seed);

  SECTION("when they have room for all slots") {
    Fleet fleet(scenario, seed);
    fleet.Play();
    CHECK(fleet.MostRefused() == 0);
    // Of 192 that the servers can run.
    CHECK(fleet.PerSecond() >= 96);
  }
  SECTION("when their memory is full before all slots are taken") {
    scenario.running_ = 24;
    Fleet fleet(scenario, seed);
    fleet.Play();
    CHECK(static_cast<double>(fleet.MostRefused()) <= scenario.max_refusals_);
    // Of 72 that the servers can run.
    CHECK(fleet.PerSecond() >= 36);
  }
  SECTION("by a new owner, which knows of no calls in flight") {
    scenario.owner_lost_at_ = seconds(10);
    Fleet fleet(scenario, seed);
    fleet.Play();
    CHECK(static_cast<double>(fleet.MostRefused()) <= scenario.max_refusals_);
    CHECK(fleet.PerSecond() >= 60);
  }
}

TEST_CASE("slots of brittle servers are divided without messages") {
  const auto names = Names(GENERATE(1, 2, 5, 8, 17));
  const std::vector<BackendServer> listed = {Listed("a", 6), Listed("b", 6),
                                             Listed("c", 6)};
  std::map<std::string, int> calls;
  for (const std::string& name : names) {
    BrittleServers bounds(name);
    bounds.SetGateways(names);
    bounds.SetServers(listed);
    bounds.SetBrittle("b", 3);
    int own = 0;
    for (const BackendServer& server : listed) {
      while (bounds.MayCall(server.id_, Scope::kShare, kStart)) {
        bounds.OnCall(server.id_, kStart);
        ++calls[server.id_];
        ++own;
      }
    }
    CHECK(own >= 1);
  }
  CHECK(calls == std::map<std::string, int>{{"a", 6}, {"b", 6}, {"c", 6}});
}

TEST_CASE("gateways without a place at brittle servers are known to all") {
  const auto names = Names(10);
  std::vector<BackendServer> servers;
  for (const char* id : {"a", "b"}) {
    servers.push_back(Listed(id, 2));
  }
  const auto divide = [&](const std::string& gateway, double max_refusals) {
    BrittleServers brittle(gateway);
    brittle.SetGateways(names);
    brittle.SetServers(servers);
    CHECK(brittle.WithoutPlace(kService).empty());
    brittle.SetBrittle("a", max_refusals);
    return brittle;
  };
  const auto expected = divide(names[0], 1).WithoutPlace(kService);
  // Four have a slot, and none of the others may be refused.
  CHECK(expected.size() == 6);
  // Two more for each server.
  CHECK(divide(names[0], 3).WithoutPlace(kService).size() == 2);
  CHECK(divide(names[0], 10).WithoutPlace(kService).empty());
  for (const std::string& name : names) {
    const BrittleServers brittle = divide(name, 1);
    CHECK(brittle.WithoutPlace(kService) == expected);
    const bool may_call = brittle.MayCall("a", Scope::kShare, kStart) ||
                          brittle.MayCall("b", Scope::kShare, kStart);
    CHECK(brittle.LacksPlace(kService) == !may_call);
    CHECK(brittle.LacksPlace(kService) == (expected.count(name) != 0));
    CHECK(!brittle.LacksPlace("other"));
  }
}

TEST_CASE("what a server has room for") {
  BrittleServers bounds("gateway");
  bounds.SetServers({Listed("s", 16), Listed("t", 16)});
  const auto may_call = [&bounds](Scope scope, TimePoint at) {
    return bounds.MayCall("s", scope, at);
  };
  const auto fill = [&bounds](int calls, TimePoint at) {
    for (int i = 0; i < calls; ++i) {
      bounds.OnCall("s", at);
    }
  };

  SECTION("is not bounded while it says nothing") {
    fill(100, kStart);
    CHECK(may_call(Scope::kOwner, kStart));
    CHECK(bounds.Full(Scope::kOwner, kStart).empty());
  }
  SECTION("counts calls sent before it said so") {
    fill(15, kStart);
    bounds.SetBrittle("s", 5);
    CHECK_FALSE(may_call(Scope::kOwner, kStart + seconds(1)));
    CHECK(may_call(Scope::kShare, kStart + seconds(1)));
  }
  SECTION("leaves some slots for calls beside an owner") {
    bounds.SetBrittle("s", 5);
    fill(13, kStart);
    CHECK(may_call(Scope::kOwner, kStart + seconds(1)));
    fill(1, kStart);
    CHECK_FALSE(may_call(Scope::kOwner, kStart + seconds(1)));
  }
  SECTION("holds for all servers of the service") {
    bounds.SetBrittle("t", 5);
    fill(16, kStart);
    CHECK(bounds.IsBrittle(kService));
    CHECK(bounds.CountBrittle() == 1);
    CHECK(bounds.Full(Scope::kShare, kStart + seconds(1)) ==
          std::vector<std::string>{"s"});
  }
  SECTION("falls with a refusal and rises with time") {
    bounds.SetBrittle("s", 100);
    fill(11, kStart);
    bounds.OnEnd("s", true, kStart);
    // 10 calls are in flight, and 8 were learned.
    CHECK_FALSE(may_call(Scope::kOwner, kStart + milliseconds(60)));
    CHECK(may_call(Scope::kOwner, kStart + seconds(1)));
  }
  SECTION("is none once the share of refusals is used up") {
    bounds.SetBrittle("s", 2);
    fill(1, kStart);
    bounds.OnEnd("s", true, kStart);
    CHECK_FALSE(may_call(Scope::kOwner, kStart + milliseconds(1100)));
    CHECK(may_call(Scope::kOwner, kStart + milliseconds(1300)));
  }
  SECTION("is not bounded when it says no more that it is brittle") {
    bounds.SetBrittle("s", 2);
    fill(50, kStart);
    CHECK_FALSE(may_call(Scope::kShare, kStart + seconds(1)));
    bounds.SetBrittle("s", std::nullopt);
    CHECK(may_call(Scope::kShare, kStart + seconds(1)));
    CHECK_FALSE(bounds.IsBrittle(kService));
  }
  SECTION("is forgotten with the server") {
    bounds.SetBrittle("s", 2);
    bounds.SetServers({Listed("t", 16)});
    CHECK_FALSE(bounds.IsBrittle(kService));
    CHECK(may_call(Scope::kShare, kStart));
    bounds.OnEnd("s", true, kStart);
  }
}

TEST_CASE("servers may be observed to be brittle before they are listed") {
  ServerLimits limits("gateway");
  CHECK(limits.Observe({"s", std::nullopt, kStart, 3.0}));
  limits.SetServers({Listed("s", 1)});
  limits.OnCall("s", kStart);
  CHECK_FALSE(limits.MayCall("s", Scope::kOwner, 1, kStart + seconds(1)));
  CHECK(limits.Exhausted(Scope::kOwner, 1, kStart + seconds(1)) ==
        std::vector<std::string>{"s"});

  SECTION("and other gateways are told so, and when it ends") {
    const auto told = limits.RecordedSince(0);
    REQUIRE(told.size() == 1);
    CHECK(told.front().max_refusals_ == 3.0);
    CHECK(limits.Observe({"s", std::nullopt, kStart + seconds(1)}));
    CHECK(limits.MayCall("s", Scope::kOwner, 1, kStart + seconds(1)));
    CHECK_FALSE(limits.RecordedSince(0).front().max_refusals_);
  }
  SECTION("and a call that ended leaves its room to another") {
    limits.OnEnd("s", false, kStart + seconds(1));
    CHECK(limits.MayCall("s", Scope::kOwner, 1, kStart + seconds(1)));
  }
}

}  // namespace
}  // namespace citronlane
