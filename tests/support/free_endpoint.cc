#include "support/free_endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace citronlane {

std::string FreeEndpoint(boost::asio::io_context* io) {
  using boost::asio::ip::tcp;
  const tcp::acceptor acceptor(
      *io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

}  // namespace citronlane
