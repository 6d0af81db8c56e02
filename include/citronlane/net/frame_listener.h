#ifndef CITRONLANE_NET_FRAME_LISTENER_H_
#define CITRONLANE_NET_FRAME_LISTENER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "citronlane/base/error.h"
#include "citronlane/net/tcp_listener.h"

namespace citronlane {

class FrameChannel;

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// Server side of the protocol between the fleet's processes: accepts
/// connections and keeps them until they end. All calls and hooks run on the
/// event loop's thread.
class FrameListener {
 public:
  struct Hooks {
    /// Called for each frame but pings and pongs. May move from the frame.
    std::function<void(const std::shared_ptr<FrameChannel>& channel,
                       wire::fleet::Frame* frame)>
        received_;
    /// Called once for each connection, when it ends.
    std::function<void(const FrameChannel* channel)> closed_;
    /// A peer connected while the maximum of connections was open. It has taken
    /// the place of a silent one, or its connection was closed. Optional.
    std::function<void(bool closed_silent)> full_;
  };

  struct Limits {
    /// Open connections.
    size_t channels_ = 1024;
    /// Memory for what all connections have received of incomplete frames. A
    /// connection that needs more is closed.
    size_t input_bytes_ = size_t{64} << 20;
  };

  /// received_ and closed_ must be set. `io` must outlive the listener. A
  /// connection over the limit takes the place of one whose peer is silent, or
  /// is closed.
  FrameListener(boost::asio::io_context* io,
                std::string address,
                Hooks hooks,
                const Limits& limits);
  /// With the default limits.
  FrameListener(boost::asio::io_context* io, std::string address, Hooks hooks);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  /// Binds the address, which must be "IP:port", and starts to accept. Returns
  /// false and sets `error` on failure.
  bool Start(Error* error);

 private:
  void Accept(boost::asio::ip::tcp::socket socket);
  /// Closes the connection whose peer has been silent for longest. Returns
  /// false if none has been silent for long.
  bool CloseSilent();

  /// Whether the channel may keep that many bytes of an incomplete frame.
  bool MayKeep(const FrameChannel* channel, size_t bytes) const;

  const Hooks hooks_;
  const Limits limits_;
  TcpListener listener_;
  std::set<std::shared_ptr<FrameChannel>> channels_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_FRAME_LISTENER_H_
