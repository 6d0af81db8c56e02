#ifndef CITRONLANE_NET_FRAME_CHANNEL_H_
#define CITRONLANE_NET_FRAME_CHANNEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "citronlane/base/time.h"

namespace citronlane {

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// Sends and receives frames of the protocol between the fleet's processes on
/// one connection: a length of four bytes, big-endian, then a Frame message.
/// Replies to pings automatically. It neither connects (see FrameLink) nor
/// interprets other frames.
///
/// Must be owned by a shared pointer, since operations in flight hold it. All
/// calls and hooks run on the event loop's thread.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
 public:
  struct Hooks {
    /// Called for each frame but pings and pongs. May move from the frame.
    std::function<void(wire::fleet::Frame*)> received_;
    /// Called once, when the connection ends for any reason, including Close.
    std::function<void()> closed_;
    /// Whether the bytes received may take `bytes`, more than for usual frames.
    /// If not, the connection is closed. Optional.
    std::function<bool(size_t bytes)> may_keep_;
  };

  /// `socket` must be connected.
  explicit FrameChannel(boost::asio::ip::tcp::socket socket);

  /// Starts to read. Must be called once, before the other methods.
  void Start(Hooks hooks);
  /// Queues a frame; pings and pongs are sent before other queued frames.
  /// Closes the connection when more than 16 MiB are queued. Does nothing once
  /// closed.
  void Send(const wire::fleet::Frame& frame);
  /// Ends the connection; `closed_` runs before it returns. Does nothing once
  /// closed.
  void Close();

  bool is_open() const { return is_open_; }
  /// Number of bytes that were not yet written to the socket.
  size_t queued_bytes() const { return queued_bytes_; }
  /// Memory for the bytes received.
  size_t input_bytes() const { return input_.size(); }
  /// Time at which bytes of a frame were last received; at first the time of
  /// construction.
  TimePoint last_received() const { return last_received_; }

 private:
  void ReadSome();
  /// Handles the complete frames among the bytes received.
  void HandleInput();
  /// Size of the first frame received, with its length field; 0 until the field
  /// is complete, nullopt if it is too large.
  std::optional<size_t> FirstFrameBytes() const;
  /// Moves the incomplete frame to the front and makes room for more of it.
  /// Returns false if that is not allowed.
  bool MakeRoom(size_t frame_bytes);
  void HandleFrame(const char* data, size_t size);
  void WriteNext();

  boost::asio::ip::tcp::socket socket_;
  Hooks hooks_;
  /// Bytes from input_begin_ to input_end_ were received and not handled yet.
  std::vector<char> input_;
  size_t input_begin_ = 0;
  size_t input_end_ = 0;
  /// Encoded frames that are being written; empty when none are.
  std::string writing_;
  /// Encoded frames to be written next.
  std::deque<std::string> queue_;
  /// Size of `writing_` and `queue_` together.
  size_t queued_bytes_ = 0;
  bool is_open_ = true;
  TimePoint last_received_;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_FRAME_CHANNEL_H_
