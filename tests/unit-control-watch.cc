#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/base/error.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_listener.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/control_watch.h"
#include "fleet.pb.h"
#include "support/eventually.h"
#include "support/free_endpoint.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using wire::fleet::Frame;
using wire::fleet::WatchUpdate;

/// A control VM as a gateway sees it.
class ControlVm {
 public:
  ControlVm(boost::asio::io_context* io, std::string endpoint)
      : endpoint_(std::move(endpoint)),
        listener_(io,
                  endpoint_,
                  {[this](const std::shared_ptr<FrameChannel>& channel,
                          Frame* frame) {
                     if (frame->has_config_held()) {
                       ++confirmed_;
                       return;
                     }
                     if (frame->has_origin_ask()) {
                       ++asked_;
                       Frame reply;
                       reply.mutable_origin_answer()->set_version(endpoint_);
                       channel->Send(reply);
                       return;
                     }
                     channel_ = channel;
                     ++requested_;
                     Push();
                   },
                   [this](const FrameChannel*) {
                     channel_.reset();
                     ++left_;
                   }}) {
    Error error;
    REQUIRE(listener_.Start(&error));
  }

  // Sends what it knows, unless it is silent.
  void Push() {
    if (channel_ && !is_silent_) {
      Frame frame;
      *frame.mutable_update() = update_;
      channel_->Send(frame);
    }
  }

  const std::string endpoint_;
  WatchUpdate update_;
  bool is_silent_ = false;
  int requested_ = 0;
  int confirmed_ = 0;
  int asked_ = 0;
  int left_ = 0;

 private:
  std::shared_ptr<FrameChannel> channel_;
  FrameListener listener_;
};

/// A gateway's watch and the updates that it passed on.
class Watch {
 public:
  Watch(boost::asio::io_context* io, std::vector<std::string> seeds)
      : io_(io),
        log_("gateway",
             {[](std::string_view) { return true; }, SteadyNow,
              [] { return int64_t{0}; }}),
        watch_(io,
               ControlWatch::Options{"127.0.0.1:1", "a", std::move(seeds)},
               &log_,
               HooksOf()) {}

  bool Until(const std::function<bool()>& condition) {
    return Eventually([&] {
      watch_.Tick(SteadyNow());
      io_->poll();
      return condition();
    });
  }

  std::optional<uint64_t> config_;
  /// VMs that answered about a stream.
  std::set<std::string> answered_;
  size_t gateways_ = 0;
  size_t updates_ = 0;

 private:
  ControlWatch::Hooks HooksOf() {
    ControlWatch::Hooks hooks;
    hooks.leader_found_ = [] {};
    hooks.updated_ = [this](WatchUpdate* update) {
      ++updates_;
      if (update->has_config()) {
        config_ = update->config().version();
      }
      if (update->has_gateways()) {
        gateways_ = static_cast<size_t>(update->gateways().gateways_size());
      }
    };
    hooks.origin_answer_ =
        [this](const wire::fleet::StreamOriginAnswer& answer) {
          answered_.insert(answer.version());
        };
    hooks.config_version_ = [this] { return config_; };
    hooks.knows_gateways_ = [this] { return gateways_ > 0; };
    hooks.add_owners_ = [](wire::fleet::WatchRequest*) {};
    return hooks;
  }

  boost::asio::io_context* const io_;
  EventLog log_;

 public:
  ControlWatch watch_;
};

}  // namespace

// After a power loss of all VMs some control VMs are back, and there is no
// leader yet.
TEST_CASE("a gateway without a leader") {
  boost::asio::io_context io;
  ControlVm silent(&io, FreeEndpoint(&io));
  ControlVm back(&io, FreeEndpoint(&io));
  silent.is_silent_ = true;
  Watch gateway(&io, {FreeEndpoint(&io), silent.endpoint_, back.endpoint_});

  SECTION("watches all control VMs at once, even if some are silent") {
    back.update_.mutable_config()->set_version(7);
    back.update_.mutable_gateways()->add_gateways();
    REQUIRE(gateway.Until([&] { return gateway.config_.has_value(); }));
    CHECK(*gateway.config_ == 7);
    CHECK(gateway.gateways_ == 1);
    CHECK_FALSE(gateway.watch_.is_connected());
    // That took no further connection.
    CHECK(back.requested_ == 1);
    REQUIRE(gateway.Until([&] { return back.confirmed_ == 1; }));
  }

  SECTION("learns of the leader on its existing connection") {
    REQUIRE(gateway.Until([&] { return back.requested_ == 1; }));
    back.update_.set_leads(true);
    back.Push();
    REQUIRE(gateway.Until([&] { return gateway.watch_.is_connected(); }));
    CHECK(back.requested_ == 1);
    // The other connections are closed then.
    REQUIRE(gateway.Until([&] { return silent.left_ == silent.requested_; }));

    SECTION("and watches all again when it loses its leadership") {
      silent.is_silent_ = false;
      silent.update_.set_leads(true);
      back.update_.set_leads(false);
      back.Push();
      REQUIRE(gateway.Until([&] { return !gateway.watch_.is_connected(); }));
      const int before = silent.requested_;
      REQUIRE(gateway.Until([&] { return gateway.watch_.is_connected(); }));
      CHECK(silent.requested_ == before + 1);
    }
    // Control sends no further configuration before the last one is
    // acknowledged.
    SECTION("and acknowledges a configuration that it does not apply") {
      gateway.config_ = 9;
      back.update_.set_leads(false);
      back.update_.mutable_config()->set_version(7);
      back.Push();
      REQUIRE(gateway.Until([&] { return back.confirmed_ == 1; }));
      CHECK(gateway.config_ == 9);
    }
    SECTION("and takes no gateways from a VM that is not the leader") {
      const size_t updates = gateway.updates_;
      back.update_.set_leads(false);
      back.update_.mutable_gateways()->add_gateways();
      back.Push();
      REQUIRE(gateway.Until([&] { return !gateway.watch_.is_connected(); }));
      CHECK(gateway.updates_ == updates);
    }
  }

  SECTION("asks about a stream") {
    Frame ask;
    ask.mutable_origin_ask()->set_question(1);
    gateway.watch_.SendToAny(ask);
    REQUIRE(gateway.Until(
        [&] { return back.requested_ == 1 && silent.requested_ == 1; }));
    // It was not connected when it asked.
    CHECK(back.asked_ == 0);

    SECTION("all control VMs") {
      const std::set<std::string> both{back.endpoint_, silent.endpoint_};
      // A connection to a silent VM ends and begins now and then.
      REQUIRE(gateway.Until([&] {
        gateway.watch_.SendToAny(ask);
        return gateway.answered_ == both;
      }));
      CHECK_FALSE(gateway.watch_.is_connected());
    }
    SECTION("only the leader once there is one") {
      back.update_.set_leads(true);
      back.Push();
      REQUIRE(gateway.Until([&] { return gateway.watch_.is_connected(); }));
      gateway.watch_.SendToAny(ask);
      REQUIRE(gateway.Until([&] { return gateway.answered_.size() == 1; }));
      CHECK(back.asked_ == 1);
      CHECK(silent.asked_ == 0);
    }
  }

  SECTION("connects to the leader that others name") {
    ControlVm leader(&io, FreeEndpoint(&io));
    leader.update_.set_leads(true);
    back.update_.set_leader(leader.endpoint_);
    back.Push();
    REQUIRE(gateway.Until([&] { return gateway.watch_.is_connected(); }));
    CHECK(leader.requested_ == 1);
  }
}

// Guards against an endless loop of reconnects: a control VM sent hundreds of
// gateways a large configuration, and each dropped it as silent before the
// frame was complete.
TEST_CASE("a control VM whose frame is partly received is not silent") {
  namespace asio = boost::asio;
  asio::io_context io;
  const std::string endpoint = FreeEndpoint(&io);
  asio::ip::tcp::acceptor acceptor(io, *ParseEndpoint(endpoint));
  Watch gateway(&io, {endpoint});
  // The request was sent a second ago.
  gateway.watch_.Tick(SteadyNow() - std::chrono::seconds(1));
  asio::ip::tcp::socket control(io);
  acceptor.accept(control);
  REQUIRE(Eventually([&] {
    io.poll();
    return control.available() > 0;
  }));

  Frame frame;
  frame.mutable_update()->mutable_config()->set_version(7);
  frame.mutable_update()->mutable_config()->set_data(std::string(10000, 'x'));
  std::string bytes(4, '\0');
  frame.AppendToString(&bytes);
  bytes[2] = static_cast<char>((bytes.size() - 4) / 256);
  bytes[3] = static_cast<char>((bytes.size() - 4) % 256);
  const TimePoint before = SteadyNow();
  asio::write(control, asio::buffer(bytes, 5000));
  while (io.poll() > 0) {
  }
  gateway.watch_.Tick(before);
  asio::write(control, asio::buffer(bytes.substr(5000)));
  REQUIRE(Eventually([&] {
    io.poll();
    return gateway.config_.has_value();
  }));
  CHECK(*gateway.config_ == 7);
}

}  // namespace citronlane
