#include <catch2/catch.hpp>

#include <array>
#include <memory>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/net/frame_channel.h"

namespace citronlane {

// A control VM that sends a large configuration or list over a narrow link was
// taken for silent, and its connection was dropped before the frame was whole.
TEST_CASE("part of a frame is a sign of life") {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(io);
  tcp::socket own(io);
  peer.connect(acceptor.local_endpoint());
  acceptor.accept(own);
  const auto channel = std::make_shared<FrameChannel>(std::move(own));
  channel->Start(FrameChannel::Hooks());
  const TimePoint before = channel->last_received();

  // The length of 1,000 bytes, and 100 of them.
  std::array<unsigned char, 104> part{};
  part[2] = 1000 / 256;
  part[3] = 1000 % 256;
  asio::write(peer, asio::buffer(part));
  // The head, and what there is of the body.
  io.run_one();
  io.run_one();
  CHECK(channel->last_received() > before);
  channel->Close();
}

}  // namespace citronlane
