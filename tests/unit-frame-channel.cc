#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "citronlane/net/frame_channel.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::fleet::Frame;

// More than a connection takes before its peer reads.
constexpr size_t kLargeBytes = size_t{6} << 20;

Frame LargeFrame() {
  Frame frame;
  frame.mutable_update()->set_config(std::string(kLargeBytes, 'x'));
  return frame;
}

}  // namespace

// A gateway with much to say was taken for lost while its answers to pings
// waited behind its data.
TEST_CASE("signs of life do not wait behind data") {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket near(io);
  tcp::socket far(io);
  near.connect(acceptor.local_endpoint());
  acceptor.accept(far);
  const auto sender = std::make_shared<FrameChannel>(std::move(near));
  const auto receiver = std::make_shared<FrameChannel>(std::move(far));

  std::vector<std::string> received;
  FrameChannel::Hooks hooks;
  hooks.received_ = [&](Frame* frame) {
    received.push_back(frame->has_update() ? "data" : "other");
  };
  receiver->Start(std::move(hooks));
  sender->Start(FrameChannel::Hooks());

  SECTION("and every frame arrives") {
    sender->Send(LargeFrame());
    sender->Send(LargeFrame());
    Frame ping;
    ping.mutable_ping();
    sender->Send(ping);
    while (received.size() < 2) {
      io.run_one();
    }
    CHECK(received == std::vector<std::string>{"data", "data"});
  }

  SECTION("a ping is read before what was sent ahead of it") {
    sender->Send(LargeFrame());
    sender->Send(LargeFrame());
    Frame ping;
    ping.mutable_ping();
    sender->Send(ping);
    const TimePoint before = sender->last_received();
    // The answer to the ping is the first thing that comes back.
    while (sender->last_received() == before) {
      io.run_one();
    }
    CHECK(received.size() == 1);
  }
  sender->Close();
  receiver->Close();
}

}  // namespace citronlane
