#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/net/frame_channel.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using wire::fleet::Frame;

// More than the socket buffers of a connection hold.
constexpr size_t kLargeBytes = size_t{6} << 20;

/// Both sockets of a loopback connection.
struct Connection {
  Connection() {
    near_.connect(acceptor_.local_endpoint());
    acceptor_.accept(far_);
  }

  asio::io_context io_;
  tcp::acceptor acceptor_{io_, {asio::ip::make_address("127.0.0.1"), 0}};
  tcp::socket near_{io_};
  tcp::socket far_{io_};
};

Frame LargeFrame() {
  Frame frame;
  frame.mutable_update()->mutable_config()->set_data(
      std::string(kLargeBytes, 'x'));
  return frame;
}

}  // namespace

// Guards against pongs that wait behind queued data: the peer then closes the
// connection of a gateway that is running but sends a lot.
TEST_CASE("pings and pongs do not wait behind data") {
  Connection connection;
  asio::io_context& io = connection.io_;
  const auto sender =
      std::make_shared<FrameChannel>(std::move(connection.near_));
  const auto receiver =
      std::make_shared<FrameChannel>(std::move(connection.far_));

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

  SECTION("a ping is read before data that was sent ahead of it") {
    sender->Send(LargeFrame());
    sender->Send(LargeFrame());
    Frame ping;
    ping.mutable_ping();
    sender->Send(ping);
    const TimePoint before = sender->last_received();
    // The receiver sends nothing but the pong.
    while (sender->last_received() == before) {
      io.run_one();
    }
    CHECK(received.size() == 1);
  }
  sender->Close();
  receiver->Close();
}

// Guards against counting complete frames only as contact: a control VM that
// sends a large configuration or server list over a slow link was then taken
// for silent, and the connection was closed before the frame was complete.
TEST_CASE("a partly received frame counts as contact") {
  Connection connection;
  const auto channel =
      std::make_shared<FrameChannel>(std::move(connection.near_));
  channel->Start(FrameChannel::Hooks());
  const TimePoint before = channel->last_received();

  // A length of 1,000 bytes, and the first 100 of them.
  std::array<unsigned char, 104> fragment{};
  fragment[2] = 1000 / 256;
  fragment[3] = 1000 % 256;
  asio::write(connection.far_, asio::buffer(fragment));
  // One step for the length, one for the partial body.
  connection.io_.run_one();
  connection.io_.run_one();
  CHECK(channel->last_received() > before);
  channel->Close();
}

}  // namespace citronlane
