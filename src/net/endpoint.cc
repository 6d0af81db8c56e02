#include "citronlane/net/endpoint.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace citronlane {

using tcp = boost::asio::ip::tcp;

std::optional<tcp::endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  const auto [end, parse_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || parse_error != std::errc() ||
      end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return tcp::endpoint(address, port);
}

void SetSocketOptions(int socket, int ack_timeout_ms) {
  const int on = 1;
  const auto timeout = static_cast<unsigned>(ack_timeout_ms);
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
               sizeof(timeout));
}

}  // namespace citronlane
