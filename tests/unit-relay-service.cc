#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_service.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "support/recorded_caller.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMostRequests = 10;
constexpr uint64_t kMostPieces = 1000;

/// A configuration with the route of the requests, which has `stages` stages.
std::shared_ptr<const ServingConfig> ConfigWithRoute(size_t stages) {
  ServingConfig::Parts parts;
  parts.version_ = 1;
  Service service;
  service.name_ = "s";
  parts.services_ = {service};
  Route route;
  route.name_ = "r";
  route.host_ = "h";
  route.prefix_ = "/nowhere/";
  route.is_public_ = true;
  route.split_ = {{"s", 1}};
  route.stages_.resize(stages);
  parts.routes_ = {std::make_shared<const Route>(route)};
  return std::make_shared<const ServingConfig>(parts);
}

}  // namespace

// After a power loss of all VMs callers reach gateways before any control VM
// can send these a configuration.
TEST_CASE("requests before the first configuration") {
  boost::asio::io_context io;
  Duration time_left = seconds(6);
  std::vector<uint32_t> pieces;
  Dialect dialect;
  dialect.read_request_ = [&](Dialect::Headers) {
    RequestHead head;
    head.stage_pieces_ = pieces;
    head.request_id_ = "r";
    head.host_ = "h";
    head.time_left_ = time_left;
    return head;
  };
  FleetView view;
  EventLog log("gateway", {[](std::string_view) { return true; }, SteadyNow,
                           [] { return int64_t{0}; }});
  Metrics metrics;
  RelayContext context;
  context.io_ = &io;
  context.dialect_ = &dialect;
  context.view_ = &view;
  context.log_ = &log;
  context.metrics_ = &metrics;
  RelayService service(&context, kMostRequests, kMostPieces);
  HttpRequest request;
  request.method_ = "GET";
  request.target_ = "/nowhere/";
  request.headers_ = {{"Host", "h"}};
  RecordedCaller caller(&io);

  SECTION("wait for the configuration") {
    boost::asio::post(io, [&] {
      ServingConfig::Parts parts;
      parts.version_ = 1;
      view.SetConfig(std::make_shared<const ServingConfig>(parts));
      service.OnViewReady();
    });
    service.Serve(request, &caller);
    REQUIRE(caller.reply_);
    // The response follows the new configuration, which has no such route.
    CHECK(caller.reply_->status_ == 404);
  }
  SECTION("wait for the first server list") {
    // Without the list no server is known, and the request would be refused.
    view.SetConfig(ConfigWithRoute(0));
    bool has_left = false;
    boost::asio::post(io, [&] {
      CHECK_FALSE(caller.reply_);
      caller.Leave();
      has_left = true;
    });
    service.Serve(request, &caller);
    CHECK(has_left);
    CHECK_FALSE(caller.reply_);
  }
  SECTION("are refused at once with more pieces than a gateway holds") {
    view.SetConfig(ConfigWithRoute(2));
    pieces = GENERATE(std::vector<uint32_t>{600, 401},
                      std::vector<uint32_t>{1, 4294967295},
                      std::vector<uint32_t>{4294967295, 4294967295});
    service.Serve(request, &caller);
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 413);
    CHECK(caller.reply_->body_.find("too_many_pieces") != std::string::npos);
  }
  SECTION("wait only a fraction of the caller's remaining time") {
    time_left = milliseconds(4);
    service.Serve(request, &caller);
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 503);
  }
  SECTION("do not wait when the process ends") {
    boost::asio::post(io, [&] { service.GiveUpAll(); });
    service.Serve(request, &caller);
    REQUIRE(caller.reply_);
    CHECK(caller.reply_->status_ == 503);
  }
  SECTION("do not wait for callers that are gone") {
    boost::asio::post(io, [&] { caller.Leave(); });
    service.Serve(request, &caller);
    CHECK_FALSE(caller.reply_);
  }
}

}  // namespace citronlane
