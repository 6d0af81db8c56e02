#ifndef CITRONLANE_NET_ENDPOINT_H_
#define CITRONLANE_NET_ENDPOINT_H_

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace citronlane {

/// Parses "IP:port"; returns `std::nullopt` when `text` is not of that form.
/// Thread safe.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT to `ack_timeout_ms`:
/// the connection fails when the peer does not acknowledge data for that long.
/// With the system's default, a connection over a broken link would hang for
/// minutes. Failures are ignored. Thread safe for different sockets.
void SetSocketOptions(int socket, int ack_timeout_ms);

}  // namespace citronlane

#endif  // CITRONLANE_NET_ENDPOINT_H_
