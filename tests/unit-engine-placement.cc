#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/error.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_listener.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/limit_watch.h"
#include "citronlane/relay/service_router.h"
#include "citronlane/routing/server_limits.h"
#include "fleet.pb.h"
#include "support/eventually.h"
#include "support/free_endpoint.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Purpose = EnginePlacement::Purpose;

constexpr const char* kService = "m";

FleetView ViewWith(const std::string& owner) {
  std::vector<BackendServer> servers;
  for (const char* name : {"e0", "e1", "e2"}) {
    BackendServer server;
    server.id_ = name;
    server.name_ = name;
    server.service_ = kService;
    server.failure_domain_ = "a";
    servers.push_back(server);
  }
  FleetView view;
  view.SetServers(servers, SteadyNow());
  view.SetOwners(1, {{kService, owner}});
  return view;
}

/// One gateway of a fleet with `owner` as the placement owner.
class Gateway {
 public:
  Gateway(boost::asio::io_context* io,
          const std::string& endpoint,
          const std::string& owner)
      : view_(ViewWith(owner)),
        router_(kService, true, seconds(10), "a", [](uint64_t) { return 0; }),
        log_("gateway",
             {[](std::string_view) { return true; }, SteadyNow,
              [] { return int64_t{0}; }}),
        placement_(io,
                   &view_,
                   endpoint,
                   &limits_,
                   &log_,
                   [this](const std::string& service) -> ServiceRouter* {
                     router_.Update(view_, SteadyNow());
                     return service == kService ? &router_ : nullptr;
                   }),
        listener_(io,
                  endpoint,
                  {[this](const std::shared_ptr<FrameChannel>& channel,
                          wire::fleet::Frame* frame) {
                     if (!is_silent_) {
                       placement_.Take(channel, *frame);
                     }
                   },
                   [this](const FrameChannel* channel) {
                     placement_.Closed(channel);
                   }}) {
    Error error;
    REQUIRE(listener_.Start(&error));
  }

  FleetView view_;
  ServiceRouter router_;
  EventLog log_;
  ServerLimits server_limits_{"gateway"};
  LimitWatch limits_{&server_limits_,
                     &log_,
                     {[](const wire::fleet::ServerLimits&) {}, SteadyNow}};
  EnginePlacement placement_;
  bool is_silent_ = false;

 private:
  FrameListener listener_;
};

}  // namespace

// Many gateways send long prompts at the same time. A gateway by itself does
// not know the others' and would send all requests of a segment to its
// preferred engine.
TEST_CASE("a placement owner assigns the requests of all gateways") {
  boost::asio::io_context io;
  const std::string owner_endpoint = FreeEndpoint(&io);
  auto owner = std::make_unique<Gateway>(&io, owner_endpoint, owner_endpoint);
  Gateway first(&io, FreeEndpoint(&io), owner_endpoint);
  Gateway second(&io, FreeEndpoint(&io), owner_endpoint);
  const auto until = [&io](const std::function<bool()>& condition) {
    return Eventually([&] {
      io.poll();
      return condition();
    });
  };
  const auto ask = [&](Gateway* gateway, Purpose purpose, uint32_t tokens,
                       std::string* server) {
    const std::vector<PromptSegment> prompt = {{"shared", 100},
                                               {"own", tokens}};
    EngineRouter::Call call;
    call.prompt_ = prompt;
    const uint64_t question = gateway->placement_.RequestEngine(
        purpose, kService, call, {},
        [server](const std::string& named) { *server = named; });
    REQUIRE(until([&] { return !server->empty(); }));
    return question;
  };

  CHECK(owner->placement_.IsPlacementOwner(kService));
  CHECK_FALSE(first.placement_.IsPlacementOwner(kService));

  SECTION("long prompts of different gateways go to different engines") {
    std::string one;
    std::string two;
    ask(&first, Purpose::kStart, 9000, &one);
    ask(&second, Purpose::kStart, 9000, &two);
    CHECK(one != two);
    CHECK(owner->placement_.placed() == 2);
  }

  SECTION("the owner learns of engines' speeds from all gateways") {
    std::vector<Duration> seen;
    EngineRouter::Observer observer;
    observer.first_event_ = [&seen](Duration, Duration after) {
      seen.push_back(after);
    };
    owner->router_.SetObserver(observer);
    for (int i = 0; i < 20; ++i) {
      for (Gateway* gateway : {&first, &second}) {
        std::string server;
        const uint64_t question =
            ask(gateway, Purpose::kStart, 800 + 100 * (i % 5), &server);
        gateway->placement_.ReportFirstEvent(question, milliseconds(60));
        gateway->placement_.ReportFinished(question, CallOutcome::kSuccess,
                                           EngineOutput{10, milliseconds(200)});
        REQUIRE(until([&] { return owner->placement_.placed() == 0; }));
      }
    }
    // Enough first events for a pace, then an expectation for each.
    REQUIRE_FALSE(seen.empty());
    CHECK(seen.size() > 20);
    CHECK(seen.back() == milliseconds(60));
  }

  SECTION("a gateway that reports no times teaches the owner nothing") {
    int observed = 0;
    EngineRouter::Observer observer;
    observer.first_event_ = [&observed](Duration, Duration) { ++observed; };
    owner->router_.SetObserver(observer);
    for (int i = 0; i < 40; ++i) {
      std::string server;
      const uint64_t question = ask(&first, Purpose::kStart, 900, &server);
      first.placement_.ReportFirstEvent(question);
      first.placement_.ReportFinished(question, CallOutcome::kSuccess);
      REQUIRE(until([&] { return owner->placement_.placed() == 0; }));
    }
    CHECK(observed == 0);
    CHECK(owner->router_.engines().Speeds(SteadyNow()).most_ == 1);
  }

  SECTION("requests that share a segment share an engine that has read it") {
    std::string one;
    std::string two;
    const uint64_t question = ask(&first, Purpose::kStart, 9000, &one);
    first.placement_.ReportFirstEvent(question);
    first.placement_.ReportFinished(question, CallOutcome::kSuccess);
    REQUIRE(until([&] { return owner->placement_.placed() == 0; }));
    ask(&second, Purpose::kStart, 9000, &two);
    CHECK(one == two);
  }

  SECTION("a plan does not count as load") {
    std::string one;
    std::string two;
    first.placement_.ReportFinished(ask(&first, Purpose::kPlan, 9000, &one),
                                    CallOutcome::kCancelled);
    ask(&second, Purpose::kPlan, 9000, &two);
    CHECK(one == two);
    CHECK(owner->placement_.placed() == 0);
  }

  SECTION("an engine that failed for one gateway is avoided by all") {
    std::string one;
    std::string two;
    const uint64_t question = ask(&first, Purpose::kStart, 10, &one);
    first.placement_.ReportFinished(question, CallOutcome::kTimeout);
    REQUIRE(until([&] { return owner->placement_.placed() == 0; }));
    ask(&second, Purpose::kStart, 10, &two);
    CHECK(one != two);
  }

  SECTION("the requests of a lost gateway no longer count") {
    std::string one;
    {
      Gateway lost(&io, FreeEndpoint(&io), owner_endpoint);
      ask(&lost, Purpose::kStart, 9000, &one);
      CHECK(owner->placement_.placed() == 1);
    }
    CHECK(until([&] { return owner->placement_.placed() == 0; }));
  }

  SECTION("an owner with three unanswered questions is excluded") {
    owner->is_silent_ = true;
    for (int i = 0; i < 3; ++i) {
      CHECK_FALSE(first.placement_.IsPlacementOwner(kService));
      const uint64_t question = first.placement_.RequestEngine(
          Purpose::kStart, kService, EngineRouter::Call(), {},
          [](const std::string&) {});
      first.placement_.ReportNoReply(question);
      first.placement_.ReportFinished(question, CallOutcome::kCancelled);
    }
    // This gateway knows no other one.
    CHECK(first.placement_.IsPlacementOwner(kService));
  }

  SECTION("engines at their limits get no more of all gateways' requests") {
    const TimePoint now = SteadyNow();
    first.server_limits_.Observe({"e0", 1, now});
    second.server_limits_.Observe({"e1", 1, now});
    std::string one;
    std::string two;
    std::string three;
    ask(&first, Purpose::kStart, 10, &one);
    CHECK(one != "e0");
    ask(&second, Purpose::kStart, 10, &two);
    CHECK(two == "e2");
    CHECK(owner->server_limits_.CountLimited() == 2);
    // The end of a limit is passed on as well.
    first.server_limits_.Observe({"e0", std::nullopt, SteadyNow()});
    ask(&first, Purpose::kStart, 10, &three);
    CHECK(owner->server_limits_.CountLimited() == 1);
  }

  SECTION("an engine's slot is kept for a request while its stages run") {
    for (const char* engine : {"e0", "e1", "e2"}) {
      first.server_limits_.Observe({engine, 1, SteadyNow() - seconds(10)});
    }
    const auto reserve = [&] {
      std::string named;
      REQUIRE(until([&] {
        named.clear();
        bool replied = false;
        const uint64_t question = first.placement_.RequestEngine(
            Purpose::kReserve, kService, EngineRouter::Call(), {},
            [&](const std::string& server) {
              named = server;
              replied = true;
            });
        const bool in_time = until([&] { return replied; });
        first.placement_.ReportFinished(question, CallOutcome::kCancelled);
        return in_time && !named.empty();
      }));
      return named;
    };
    const std::string reserved = reserve();
    CHECK(owner->placement_.placed() == 0);
    CHECK_FALSE(owner->server_limits_.MayCall(
        reserved, ServerLimits::Scope::kOwner, 1, SteadyNow()));
    std::string started;
    first.placement_.RequestEngine(
        Purpose::kStart, kService, EngineRouter::Call(), {},
        [&](const std::string& server) { started = server; }, reserved);
    CHECK(until([&] { return !started.empty(); }));
    CHECK(started == reserved);
    CHECK(owner->placement_.placed() == 1);
  }

  SECTION("a new owner is told of limits that the previous one knew") {
    first.server_limits_.Observe({"e0", 1, SteadyNow()});
    std::string one;
    ask(&first, Purpose::kStart, 10, &one);
    CHECK(owner->server_limits_.CountLimited() == 1);
    const std::string endpoint = FreeEndpoint(&io);
    Gateway next(&io, endpoint, endpoint);
    first.view_.SetOwners(2, {{kService, endpoint}});
    std::string two;
    ask(&first, Purpose::kStart, 10, &two);
    CHECK(next.server_limits_.CountLimited() == 1);
    CHECK(two != "e0");
  }

  SECTION("an owner that is gone is excluded immediately") {
    owner.reset();
    const uint64_t question = first.placement_.RequestEngine(
        Purpose::kStart, kService, EngineRouter::Call(), {},
        [](const std::string&) {});
    CHECK(until([&] { return first.placement_.IsPlacementOwner(kService); }));
    first.placement_.ReportFinished(question, CallOutcome::kCancelled);
  }
}

// Hundreds of engines would be too many for one placement owner.
TEST_CASE("engines divided by failure domain") {
  boost::asio::io_context io;
  const std::string endpoint_a = FreeEndpoint(&io);
  const std::string endpoint_b = FreeEndpoint(&io);
  Gateway owner_a(&io, endpoint_a, endpoint_a);
  auto owner_b = std::make_unique<Gateway>(&io, endpoint_b, endpoint_b);
  Gateway requester(&io, FreeEndpoint(&io), endpoint_a);
  const PoolPartition partition_a(kService, "a");
  const PoolPartition partition_b(kService, "b");
  std::vector<BackendServer> servers;
  for (const char* name : {"a0", "a1", "b0", "b1"}) {
    BackendServer server;
    server.id_ = server.name_ = name;
    server.service_ = kService;
    server.failure_domain_ = std::string(1, *name);
    servers.push_back(server);
  }
  for (Gateway* gateway : {&owner_a, owner_b.get(), &requester}) {
    gateway->view_.SetServers(servers, SteadyNow() + seconds(1));
    gateway->view_.SetOwners(
        2, {{partition_a, endpoint_a}, {partition_b, endpoint_b}});
  }
  const auto until = [&io](const std::function<bool()>& condition) {
    return Eventually([&] {
      io.poll();
      return condition();
    });
  };
  const auto place_in = [&](const PoolPartition& partition) {
    std::string server;
    requester.placement_.RequestEngine(
        Purpose::kStart, partition, EngineRouter::Call(), {},
        [&server](const std::string& named) { server = named; });
    REQUIRE(until([&] { return !server.empty(); }));
    return server;
  };

  SECTION("are assigned by the placement owner of their domain") {
    CHECK(requester.placement_.PartitionIn(kService, "a") == partition_a);
    CHECK(requester.placement_.PartitionIn(kService, "b") == partition_b);
    CHECK(owner_a.placement_.IsPlacementOwner(partition_a));
    CHECK_FALSE(owner_a.placement_.IsPlacementOwner(partition_b));
  }
  SECTION("which assigns only these, however busy they are") {
    for (int i = 0; i < 6; ++i) {
      CHECK(place_in(partition_a).front() == 'a');
    }
    CHECK(place_in(partition_b).front() == 'b');
    CHECK(owner_a.placement_.placed() == 6);
    CHECK(owner_b->placement_.placed() == 1);
  }
  SECTION("have no placement owner while theirs is unreachable") {
    owner_b.reset();
    requester.placement_.RequestEngine(Purpose::kStart, partition_b,
                                       EngineRouter::Call(), {},
                                       [](const std::string&) {});
    CHECK(until(
        [&] { return !requester.placement_.PartitionIn(kService, "b"); }));
    CHECK(requester.placement_.PartitionIn(kService, "a") == partition_a);
  }
  SECTION("have no placement owner in a domain without a partition") {
    CHECK_FALSE(requester.placement_.PartitionIn(kService, "c"));
  }
}

}  // namespace citronlane
