#ifndef CITRONLANE_NET_FRAME_CHANNEL_H_
#define CITRONLANE_NET_FRAME_CHANNEL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// Carries frames of the fleet's own protocol both ways on one connection.
/// Answers pings by itself. Owned by shared pointers, since operations in
/// flight hold it; all calls and hooks on the event loop's thread.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
 public:
  struct Hooks {
    /// May move what it needs out of the frame.
    std::function<void(wire::fleet::Frame*)> received_;
    /// Called once, when the connection ends for whatever reason.
    std::function<void()> closed_;
  };

  /// `socket` is connected.
  explicit FrameChannel(boost::asio::ip::tcp::socket socket);

  /// Starts to read. Call once, before all else.
  void Start(Hooks hooks);
  /// Queues a frame; closes when the peer does not take what is queued.
  void Send(const wire::fleet::Frame& frame);
  /// Ends the connection; `closed_` runs before it returns.
  void Close();

  bool is_open() const { return is_open_; }
  /// What the peer has not taken yet, in bytes, beyond the system's buffers.
  size_t queued_bytes() const { return queued_bytes_; }
  /// When the last bytes came in.
  TimePoint last_received() const { return last_received_; }

 private:
  void ReadHead();
  void ReadBody(uint32_t size);
  void Take();
  void WriteNext();

  static constexpr size_t kHeadBytes = 4;

  boost::asio::ip::tcp::socket socket_;
  Hooks hooks_;
  std::array<unsigned char, kHeadBytes> head_{};
  std::string body_;
  /// The frame that is being written; empty for none.
  std::string writing_;
  /// Frames to be written after it.
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;
  bool is_open_ = true;
  TimePoint last_received_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_FRAME_CHANNEL_H_
