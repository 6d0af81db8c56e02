#ifndef CITRONLANE_NET_ENDPOINT_H_
#define CITRONLANE_NET_ENDPOINT_H_

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace citronlane {

/// Reads "IP:port"; nothing when it is none. Thread safe.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

/// Sends small writes at once and gives a connection up whose peer does not
/// acknowledge for `silence_ms`: one behind a cut link would hang for minutes.
/// Best effort. Thread safe for different sockets.
void SetSocketOptions(int socket, int silence_ms);

}  // namespace citronlane

#endif  // CITRONLANE_NET_ENDPOINT_H_
