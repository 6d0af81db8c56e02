#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/error.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/control/gateway_feed.h"
#include "citronlane/fleet/document_patch.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_listener.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/config_receiver.h"
#include "citronlane/relay/control_watch.h"
#include "citronlane/state/fleet_state.h"
#include "fleet.pb.h"
#include "support/eventually.h"
#include "support/free_endpoint.h"
#include "support/route_document.h"

namespace citronlane {
namespace {

using wire::fleet::ConfigUpdate;
using wire::fleet::Frame;
using wire::fleet::WatchUpdate;

/// A control VM that is the leader.
class Leader {
 public:
  Leader(boost::asio::io_context* io, const std::string& endpoint)
      : log_("control",
             {[this](std::string_view line) {
                lines_ += line;
                return true;
              },
              SteadyNow, [] { return int64_t{0}; }}),
        feed_(
            &state_,
            &log_,
            [] {
              GatewayFeed::Leadership leadership;
              leadership.leads_ = true;
              return leadership;
            },
            [] { return std::vector<PooledService>(); }),
        listener_(io,
                  endpoint,
                  {[this](const std::shared_ptr<FrameChannel>& channel,
                          Frame* frame) { Take(channel, *frame); },
                   [this](const FrameChannel* channel) {
                     feed_.OnClosed(channel);
                   }}) {
    Error error;
    REQUIRE(listener_.Start(&error));
  }

  void Commit(uint64_t version, const std::string& document) {
    REQUIRE(state_.Apply(ConfigRegister::Command(version, document)) ==
            FleetState::Change::kConfig);
    feed_.PushAll(SteadyNow());
  }

  /// Reports that a server crashed `age` ago while it was running the request.
  void TakeCrash(const std::string& server,
                 const std::string& digest,
                 std::chrono::milliseconds age) {
    wire::fleet::CrashReports reports;
    auto* crash = reports.add_crashes();
    crash->set_server(server);
    crash->set_age_ms(static_cast<uint64_t>(age.count()));
    crash->add_running()->set_digest(digest);
    feed_.TakeCrashes(reports, SteadyNow());
  }
  /// Reports a block by the previous leader.
  void TakeBlock(const std::string& digest) {
    wire::fleet::CrashReports reports;
    auto* suspect = reports.mutable_suspects()->add_requests();
    suspect->mutable_request()->set_digest(digest);
    suspect->set_blocked_ms(60000);
    feed_.TakeCrashes(reports, SteadyNow());
  }
  void TakeSurvival(const std::string& digest) {
    wire::fleet::CrashReports reports;
    reports.add_survivals()->mutable_request()->set_digest(digest);
    feed_.TakeCrashes(reports, SteadyNow());
  }
  /// Reports what a server said of its limit `age` ago.
  void TakeLimit(const std::string& server,
                 std::optional<double> per_second,
                 std::chrono::milliseconds age) {
    wire::fleet::ServerLimits limits;
    auto* limit = limits.add_limits();
    limit->set_server(server);
    limit->set_is_limited(per_second.has_value());
    limit->set_per_second(per_second.value_or(0));
    limit->set_age_ms(static_cast<uint64_t>(age.count()));
    feed_.TakeLimits(limits, SteadyNow());
  }
  void StartLeading() { feed_.StartLeading(SteadyNow()); }
  size_t blocked() const { return feed_.CountBlocked(SteadyNow()); }

  void Drain(const std::string& domain, bool is_drained) {
    REQUIRE(state_.Apply(DrainedDomains::Command(domain, is_drained)) ==
            FleetState::Change::kDrainedDomains);
    feed_.PushAll(SteadyNow());
  }

  /// Pushes updates as of `time` from now.
  void Pass(Duration time) { feed_.PushAll(SteadyNow() + time); }

  /// Whether the version is held by all, as of `later` from now.
  bool IsHeldByAll(uint64_t version, Duration later) const {
    return feed_.IsHeldByAll(version, SteadyNow() + later);
  }

  bool HasLogged(const std::string& event) const {
    return lines_.find("\"" + event + "\"") != std::string::npos;
  }

  /// Ends the connection, as a restart of the VM does.
  void Disconnect() {
    if (const auto channel = channel_.lock()) {
      channel->Close();
    }
  }

  /// Bytes queued for the gateway.
  size_t queued_bytes() const {
    const auto channel = channel_.lock();
    return channel ? channel->queued_bytes() : 0;
  }

 private:
  void Take(const std::shared_ptr<FrameChannel>& channel, const Frame& frame) {
    channel_ = channel;
    if (frame.has_config_held()) {
      feed_.ConfirmConfig(channel.get(), frame.config_held(), SteadyNow());
    } else {
      feed_.Watch(channel, frame.watch(), SteadyNow());
    }
  }

  std::weak_ptr<FrameChannel> channel_;
  std::string lines_;
  FleetState state_;
  EventLog log_;
  GatewayFeed feed_;
  FrameListener listener_;
};

/// A gateway that reads from its connection only in Poll.
class Gateway {
 public:
  explicit Gateway(const std::string& leader)
      : log_("gateway",
             {[](std::string_view) { return true; }, SteadyNow,
              [] { return int64_t{0}; }}),
        watch_(&io_,
               ControlWatch::Options{"127.0.0.1:1",
                                     "a",
                                     {leader},
                                     "",
                                     {0.09, 937500}},
               &log_,
               HooksOf()) {}

  void Poll() {
    watch_.Tick(SteadyNow());
    // The loop stops whenever it has nothing to do.
    io_.restart();
    io_.poll();
  }

  ConfigReceiver config_;
  std::vector<ConfigUpdate> updates_;
  /// Drained failure domains last received.
  std::vector<std::string> drained_;
  /// Size of all updates received, in bytes.
  size_t received_bytes_ = 0;
  /// Whether the last list of suspect requests received has a blocked one;
  /// nothing before the first list.
  std::optional<bool> has_blocked_;
  /// Limits received, by server; 0 for a server that names none.
  std::map<std::string, double> limits_;
  /// Whether this gateway is listed as cut off; nothing before the first list.
  std::optional<bool> is_listed_cut_off_;
  /// Capacity listed for this gateway, and the number of lists received.
  GatewayCapacity listed_capacity_;
  int lists_ = 0;

  void ReportLoad(const GatewayLoad& load) { watch_.ReportLoad(load); }
  void SetCutOff(bool cut_off) { watch_.SetCutOff(cut_off); }

 private:
  ControlWatch::Hooks HooksOf() {
    ControlWatch::Hooks hooks;
    hooks.leader_found_ = [] {};
    hooks.updated_ = [this](WatchUpdate* update) {
      received_bytes_ += update->ByteSizeLong();
      lists_ += update->has_gateways() ? 1 : 0;
      if (update->has_drained()) {
        drained_.assign(update->drained().names().begin(),
                        update->drained().names().end());
      }
      for (const auto& limit : update->limits().limits()) {
        limits_[limit.server()] = limit.per_second();
      }
      for (const auto& gateway : update->gateways().gateways()) {
        is_listed_cut_off_ = gateway.cut_off();
        listed_capacity_ = {gateway.processor_cores(),
                            gateway.link_bytes_per_second()};
      }
      if (update->has_suspects()) {
        const auto& requests = update->suspects().requests();
        has_blocked_ = std::any_of(
            requests.begin(), requests.end(),
            [](const auto& request) { return request.blocked_ms() > 0; });
      }
      if (update->has_config()) {
        Error error;
        updates_.push_back(update->config());
        config_.Take(update->config(), &error);
      }
    };
    hooks.config_version_ = [this] { return config_.version(); };
    hooks.knows_gateways_ = [] { return true; };
    hooks.add_owners_ = [](wire::fleet::WatchRequest*) {};
    return hooks;
  }

  boost::asio::io_context io_;
  EventLog log_;
  ControlWatch watch_;
};

constexpr size_t kRoutes = 4200;
constexpr uint64_t kFirst = 1;
constexpr uint64_t kLast = 11;

}  // namespace

// Guards against configurations that come into force seconds after they were
// acknowledged: a full document for each change, queued behind the earlier
// ones, does so when changes come in quick succession.
TEST_CASE("changes come faster than a gateway's link carries full documents") {
  boost::asio::io_context io;
  const std::string endpoint = FreeEndpoint(&io);
  Leader leader(&io, endpoint);
  Gateway gateway(endpoint);
  const auto has = [&](uint64_t version) {
    return Eventually([&] {
      io.poll();
      gateway.Poll();
      return gateway.config_.version() == version;
    });
  };
  leader.Commit(kFirst, RouteDocument(kFirst, kRoutes));
  REQUIRE(has(kFirst));
  gateway.received_bytes_ = 0;
  for (uint64_t version = kFirst + 1; version <= kLast; ++version) {
    leader.Commit(version, RouteDocument(version, kRoutes));
    io.poll();
  }

  SECTION("the newest one arrives within a second") {
    // One second of a 10 Mbit/s link, half of it taken by requests and results.
    constexpr size_t kLinkBytes = 625000;
    REQUIRE(has(kLast));
    CHECK(gateway.config_.document() == RouteDocument(kLast, kRoutes));
    CHECK(gateway.received_bytes_ <= kLinkBytes);
  }

  SECTION("a gateway that reads nothing costs less memory than a document") {
    CHECK(leader.queued_bytes() <= RouteDocument(kLast, kRoutes).size());
  }
}

TEST_CASE("updates depend on the version that a gateway holds") {
  boost::asio::io_context io;
  const std::string endpoint = FreeEndpoint(&io);
  Leader leader(&io, endpoint);
  Gateway gateway(endpoint);
  const auto until = [&](const std::function<bool()>& condition) {
    return Eventually([&] {
      io.poll();
      gateway.Poll();
      return condition();
    });
  };
  const auto has = [&](uint64_t version) {
    return until([&] { return gateway.config_.version() == version; });
  };
  leader.Commit(1, RouteDocument(1, 10));
  REQUIRE(has(1));
  REQUIRE(gateway.updates_.size() == 1);
  CHECK_FALSE(gateway.updates_.back().has_base());

  SECTION("a difference from that version") {
    leader.Commit(2, RouteDocument(2, 11));
    REQUIRE(has(2));
    CHECK(gateway.updates_.back().base_version() == 1);
    CHECK(gateway.config_.document() == RouteDocument(2, 11));
  }
  SECTION("a difference also on a new connection") {
    leader.Disconnect();
    leader.Commit(2, RouteDocument(2, 11));
    REQUIRE(has(2));
    CHECK(gateway.updates_.back().base_version() == 1);
    CHECK(gateway.updates_.size() == 2);
  }
  SECTION("the full document once it can not apply a difference") {
    // Gives the gateway other content under the same version.
    gateway.config_ = ConfigReceiver();
    ConfigUpdate foreign;
    Error error;
    foreign.set_version(1);
    foreign.set_data(*EncodeDocument("{}", "", &error));
    REQUIRE(gateway.config_.Take(foreign, &error));
    leader.Commit(2, RouteDocument(2, 11));
    REQUIRE(has(2));
    CHECK(gateway.updates_.size() == 3);
    CHECK_FALSE(gateway.updates_.back().has_base());
    CHECK(gateway.config_.document() == RouteDocument(2, 11));
  }
  SECTION("propagation of the newest version is logged") {
    REQUIRE(until([&] { return leader.HasLogged("config everywhere"); }));
    CHECK_FALSE(leader.HasLogged("config late"));
    leader.Commit(2, RouteDocument(2, 11));
    leader.Pass(std::chrono::milliseconds(500));
    CHECK_FALSE(leader.HasLogged("config late"));
    leader.Pass(std::chrono::milliseconds(1500));
    CHECK(leader.HasLogged("config late"));
  }
  SECTION(
      "gateways that are cut off from the servers, also after a new "
      "connection") {
    const auto listed = [&](bool cut_off) {
      return until([&] {
        leader.Pass(Duration());
        return gateway.is_listed_cut_off_ == cut_off;
      });
    };
    REQUIRE(listed(false));
    gateway.SetCutOff(true);
    CHECK(listed(true));
    gateway.is_listed_cut_off_.reset();
    leader.Disconnect();
    CHECK(listed(true));
    gateway.SetCutOff(false);
    CHECK(listed(false));
  }
  SECTION("capacities of gateways, and not the list at each report of load") {
    REQUIRE(until([&] {
      leader.Pass(Duration());
      return gateway.lists_ > 0;
    }));
    CHECK(gateway.listed_capacity_.processor_cores_ == 0.09);
    CHECK(gateway.listed_capacity_.link_bytes_per_second_ == 937500);
    const int lists = gateway.lists_;
    for (int i = 0; i < 20; ++i) {
      gateway.ReportLoad({0.5, 0.1, std::chrono::milliseconds(3)});
    }
    // Whatever the reports cause has arrived with a later change.
    leader.Drain("north-a", true);
    gateway.SetCutOff(true);
    REQUIRE(until([&] {
      leader.Pass(Duration());
      return gateway.is_listed_cut_off_ == true;
    }));
    CHECK(gateway.lists_ == lists + 1);
  }
  SECTION("drained failure domains, on each connection and at each change") {
    const auto drained = [&](const std::vector<std::string>& names) {
      return until([&] { return gateway.drained_ == names; });
    };
    leader.Drain("north-a", true);
    REQUIRE(drained({"north-a"}));
    leader.Drain("north-b", true);
    REQUIRE(drained({"north-a", "north-b"}));
    gateway.drained_.clear();
    leader.Disconnect();
    REQUIRE(drained({"north-a", "north-b"}));
    leader.Drain("north-a", false);
    REQUIRE(drained({"north-b"}));
    leader.Drain("north-b", false);
    REQUIRE(drained({}));
  }
  SECTION("IsHeldByAll counts the connected gateways") {
    CHECK(until([&] { return leader.IsHeldByAll(1, Duration::zero()); }));
    leader.Commit(2, RouteDocument(2, 11));
    CHECK(leader.IsHeldByAll(1, Duration::zero()));
    CHECK_FALSE(leader.IsHeldByAll(2, Duration::zero()));
    // A gateway without confirmations for long does not count.
    CHECK_FALSE(leader.IsHeldByAll(2, std::chrono::milliseconds(800)));
    CHECK(leader.IsHeldByAll(2, std::chrono::milliseconds(1500)));
    CHECK(until([&] { return leader.IsHeldByAll(2, Duration::zero()); }));
  }
  SECTION("nothing when it has the newest") {
    leader.Commit(2, RouteDocument(2, 10));
    REQUIRE(has(2));
    leader.Disconnect();
    const size_t before = gateway.received_bytes_;
    REQUIRE(until([&] { return gateway.received_bytes_ > before; }));
    CHECK(gateway.updates_.size() == 2);
  }
}

// Guards against gateways that learn late, or not at all, of a request that
// crashes servers, and against a leader that forgets the previous one's blocks.
TEST_CASE("requests that crash servers") {
  using std::chrono::milliseconds;
  boost::asio::io_context io;
  const std::string endpoint = FreeEndpoint(&io);
  Leader leader(&io, endpoint);
  Gateway gateway(endpoint);
  const auto blocked_is = [&](bool expected) {
    return Eventually([&] {
      io.poll();
      gateway.Poll();
      return gateway.has_blocked_ == expected;
    });
  };

  SECTION("are sent to gateways at the crash that blocks them") {
    leader.TakeCrash("s1", "bad", milliseconds(3000));
    leader.TakeCrash("s2", "bad", milliseconds(2000));
    REQUIRE(blocked_is(false));
    leader.TakeCrash("s3", "bad", milliseconds(1000));
    CHECK(leader.HasLogged("request blocked"));
    CHECK(blocked_is(true));
    leader.TakeSurvival("bad");
    CHECK(leader.HasLogged("request survived"));
    CHECK(blocked_is(false));
  }
  SECTION("stay blocked after a change of the leader") {
    leader.TakeCrash("s1", "bad", milliseconds(3000));
    leader.TakeCrash("s2", "bad", milliseconds(2000));
    leader.TakeCrash("s3", "bad", milliseconds(1000));
    REQUIRE(blocked_is(true));
    leader.StartLeading();
    CHECK(leader.blocked() == 0);
    // Until gateways have reported, they keep the previous list.
    leader.Pass(milliseconds(200));
    leader.TakeBlock("bad");
    CHECK(leader.blocked() == 1);
    leader.Pass(milliseconds(1600));
    CHECK(blocked_is(true));
  }
}

// Guards against gateways that learn of a limit, or of its end, only by their
// own next call to the server, which is minutes away in a large fleet.
TEST_CASE("limits that backend servers name") {
  using std::chrono::milliseconds;
  using Limits = std::map<std::string, double>;
  boost::asio::io_context io;
  const std::string endpoint = FreeEndpoint(&io);
  Leader leader(&io, endpoint);
  Gateway gateway(endpoint);
  const auto limits_are = [&](const Limits& expected) {
    return Eventually([&] {
      leader.Pass(Duration());
      io.poll();
      gateway.Poll();
      return gateway.limits_ == expected;
    });
  };
  leader.TakeLimit("a", 2, milliseconds(100));
  REQUIRE(limits_are({{"a", 2}}));
  // Observed before the first one, reported after it.
  leader.TakeLimit("b", 3, milliseconds(900));
  REQUIRE(limits_are({{"a", 2}, {"b", 3}}));
  // An older observation changes nothing, a later one does.
  leader.TakeLimit("a", std::nullopt, milliseconds(5000));
  leader.TakeLimit("b", std::nullopt, milliseconds(0));
  CHECK(limits_are({{"a", 2}, {"b", 0}}));
}

// Guards against a leader that imposes a limit which ended while another VM
// led.
TEST_CASE("a new leader passes on only limits that gateways report to it") {
  using std::chrono::milliseconds;
  boost::asio::io_context io;
  const std::string endpoint = FreeEndpoint(&io);
  Leader leader(&io, endpoint);
  leader.TakeLimit("a", 2, milliseconds(0));
  leader.StartLeading();
  Gateway gateway(endpoint);
  leader.TakeLimit("b", 3, milliseconds(0));
  REQUIRE(Eventually([&] {
    leader.Pass(Duration());
    io.poll();
    gateway.Poll();
    return gateway.limits_.count("b") != 0;
  }));
  CHECK(gateway.limits_.count("a") == 0);
}

}  // namespace citronlane
