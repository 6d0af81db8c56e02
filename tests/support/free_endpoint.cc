#include "support/free_endpoint.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace citronlane {
namespace {

// A loopback address for each process: on 127.0.0.1, an outgoing connection or
// another test could take the port before the caller listens on it.
boost::asio::ip::address_v4 OwnLoopback() {
  constexpr uint32_t kNetwork = 127U << 24U;
  constexpr uint32_t kFirst = 1U << 16U;
  constexpr uint32_t kAddresses = (1U << 24U) - 2 * kFirst;
  const auto process = static_cast<uint32_t>(getpid());
  return boost::asio::ip::address_v4(kNetwork |
                                     (kFirst + process % kAddresses));
}

}  // namespace

std::string FreeEndpoint(boost::asio::io_context* io) {
  using boost::asio::ip::tcp;
  const auto address = OwnLoopback();
  const tcp::acceptor acceptor(*io, tcp::endpoint(address, 0));
  return address.to_string() + ":" +
         std::to_string(acceptor.local_endpoint().port());
}

}  // namespace citronlane
