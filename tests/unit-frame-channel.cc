#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
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
  connection.io_.run_one();
  CHECK(channel->last_received() > before);
  channel->Close();
}

// Guards against frames that are lost or mixed when a read returns parts of
// them, or several at once.
TEST_CASE("frames arrive however their bytes are divided") {
  std::string bytes;
  constexpr size_t kFrames = 40;
  for (size_t i = 0; i < kFrames; ++i) {
    Frame frame;
    // Empty ones, small ones, and some larger than the usual read.
    frame.mutable_engine_answer()->set_question(i);
    frame.mutable_engine_answer()->set_server(std::string(i * i * 7, 'x'));
    const std::string body = frame.SerializeAsString();
    for (const int shift : {24, 16, 8, 0}) {
      bytes += static_cast<char>(body.size() >> shift);
    }
    bytes += body;
  }
  for (const size_t part : {size_t{1}, size_t{3}, size_t{1000}, bytes.size()}) {
    INFO("parts of " << part << " bytes");
    Connection connection;
    const auto channel =
        std::make_shared<FrameChannel>(std::move(connection.near_));
    std::vector<uint64_t> received;
    FrameChannel::Hooks hooks;
    hooks.received_ = [&received](Frame* frame) {
      received.push_back(frame->engine_answer().question());
      CHECK(frame->engine_answer().server().size() ==
            received.back() * received.back() * 7);
    };
    channel->Start(std::move(hooks));
    for (size_t sent = 0; sent < bytes.size(); sent += part) {
      asio::write(connection.far_,
                  asio::buffer(bytes.data() + sent,
                               std::min(part, bytes.size() - sent)));
      connection.io_.poll();
    }
    while (received.size() < kFrames) {
      connection.io_.run_one();
    }
    for (size_t i = 0; i < kFrames; ++i) {
      CHECK(received[i] == i);
    }
    channel->Close();
  }
}

// Guards against small frames that wait behind a large one and are then written
// one by one, or out of order.
TEST_CASE("frames that wait are written in order") {
  Connection connection;
  const auto sender =
      std::make_shared<FrameChannel>(std::move(connection.near_));
  const auto receiver =
      std::make_shared<FrameChannel>(std::move(connection.far_));
  std::vector<uint64_t> received;
  FrameChannel::Hooks hooks;
  hooks.received_ = [&received](Frame* frame) {
    if (frame->has_engine_answer()) {
      received.push_back(frame->engine_answer().question());
    }
  };
  receiver->Start(std::move(hooks));
  sender->Start(FrameChannel::Hooks());
  sender->Send(LargeFrame());
  constexpr uint64_t kFrames = 3000;
  for (uint64_t i = 0; i < kFrames; ++i) {
    Frame frame;
    frame.mutable_engine_answer()->set_question(i);
    sender->Send(frame);
  }
  while (received.size() < kFrames) {
    connection.io_.run_one();
  }
  for (uint64_t i = 0; i < kFrames; ++i) {
    CHECK(received[i] == i);
  }
  CHECK(sender->queued_bytes() == 0);
  sender->Close();
  receiver->Close();
}

}  // namespace citronlane
