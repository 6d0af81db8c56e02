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

// More than a connection takes before its peer reads.
constexpr size_t kLargeBytes = size_t{6} << 20;

/// Two ends of a connection.
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

// A gateway with much to say was taken for lost while its answers to pings
// waited behind its data.
TEST_CASE("signs of life do not wait behind data") {
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

// A control VM that sends a large configuration or list over a narrow link was
// taken for silent, and its connection was dropped before the frame was whole.
TEST_CASE("part of a frame is a sign of life") {
  Connection connection;
  const auto channel =
      std::make_shared<FrameChannel>(std::move(connection.near_));
  channel->Start(FrameChannel::Hooks());
  const TimePoint before = channel->last_received();

  // The length of 1,000 bytes, and 100 of them.
  std::array<unsigned char, 104> part{};
  part[2] = 1000 / 256;
  part[3] = 1000 % 256;
  asio::write(connection.far_, asio::buffer(part));
  // The head, and what there is of the body.
  connection.io_.run_one();
  connection.io_.run_one();
  CHECK(channel->last_received() > before);
  channel->Close();
}

}  // namespace citronlane
