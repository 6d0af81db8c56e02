#ifndef CITRONLANE_TRANSPORT_DETAIL_MESSAGE_BUFFERS_H_
#define CITRONLANE_TRANSPORT_DETAIL_MESSAGE_BUFFERS_H_

#include <array>
#include <string_view>

#include <boost/asio/buffer.hpp>

namespace citronlane::detail {

/// Returns the buffers of a message, so that its head and body are written
/// without being joined. Valid as long as both texts are. Thread safe.
inline std::array<boost::asio::const_buffer, 2> MessageBuffers(
    std::string_view head,
    std::string_view body) {
  return {boost::asio::const_buffer(head.data(), head.size()),
          boost::asio::const_buffer(body.data(), body.size())};
}

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_MESSAGE_BUFFERS_H_
