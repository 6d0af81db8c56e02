#ifndef CITRONLANE_NET_FRAME_LISTENER_H_
#define CITRONLANE_NET_FRAME_LISTENER_H_

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

/// The answering side of the fleet's own protocol: keeps the connections that
/// peers have made until they end. All calls and hooks on the event loop's
/// thread.
class FrameListener {
 public:
  struct Hooks {
    std::function<void(const std::shared_ptr<FrameChannel>& channel,
                       wire::fleet::Frame* frame)>
        received_;
    std::function<void(const FrameChannel* channel)> closed_;
  };

  FrameListener(boost::asio::io_context* io, std::string address, Hooks hooks);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  /// Binds "IP:port" and starts to accept. False with the reason.
  bool Start(Error* error);

 private:
  void Accept(boost::asio::ip::tcp::socket socket);

  const Hooks hooks_;
  TcpListener listener_;
  std::set<std::shared_ptr<FrameChannel>> channels_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_FRAME_LISTENER_H_
