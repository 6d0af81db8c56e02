#include "support/raw_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace citronlane {

std::string SendRaw(uint16_t port, const std::string& text) {
  namespace asio = boost::asio;
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address("127.0.0.1"), port});
  boost::system::error_code error;
  asio::write(socket, asio::buffer(text), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

}  // namespace citronlane
