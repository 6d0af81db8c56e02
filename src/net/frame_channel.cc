#include "citronlane/net/frame_channel.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/base/steady_now.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using wire::fleet::Frame;

/// Well above the largest valid frame, which holds a full configuration.
constexpr uint32_t kMaxFrameBytes = 64U << 20;
/// The connection is closed when more is queued: the peer has stopped reading.
constexpr size_t kMaxQueuedBytes = size_t{16} << 20;
constexpr int kBitsPerByte = 8;

std::string EncodeWithLength(const Frame& frame) {
  std::string bytes(4, '\0');
  frame.AppendToString(&bytes);
  const auto size = static_cast<uint32_t>(bytes.size() - 4);
  for (int i = 0; i < 4; ++i) {
    bytes[static_cast<size_t>(i)] =
        static_cast<char>(size >> (kBitsPerByte * (3 - i)));
  }
  return bytes;
}

}  // namespace

FrameChannel::FrameChannel(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), last_received_(SteadyNow()) {}

void FrameChannel::Start(Hooks hooks) {
  hooks_ = std::move(hooks);
  ReadLength();
}

void FrameChannel::Send(const Frame& frame) {
  if (!is_open_) {
    return;
  }
  std::string bytes = EncodeWithLength(frame);
  queued_bytes_ += bytes.size();
  // Pings and pongs are sent before queued data: a peer that waits for a pong
  // behind it would close the connection.
  if (frame.has_ping() || frame.has_pong()) {
    queue_.push_front(std::move(bytes));
  } else {
    queue_.push_back(std::move(bytes));
  }
  if (queued_bytes_ > kMaxQueuedBytes) {
    Close();
    return;
  }
  if (writing_.empty()) {
    WriteNext();
  }
}

void FrameChannel::Close() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  error_code ignored;
  socket_.close(ignored);
  const Hooks hooks = std::move(hooks_);
  hooks_ = Hooks();
  if (hooks.closed_) {
    hooks.closed_();
  }
}

void FrameChannel::ReadLength() {
  asio::async_read(
      socket_, asio::buffer(length_),
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error || !self->is_open_) {
          self->Close();
          return;
        }
        uint32_t size = 0;
        for (const unsigned char byte : self->length_) {
          size = size << kBitsPerByte | byte;
        }
        if (size > kMaxFrameBytes) {
          self->Close();
          return;
        }
        self->ReadBody(size);
      });
}

void FrameChannel::ReadBody(uint32_t size) {
  body_.resize(size);
  asio::async_read(
      socket_, asio::buffer(body_),
      [self = shared_from_this()](const error_code& error, size_t read) {
        // Called after each partial read: a peer that is sending a large frame
        // must not count as silent.
        self->last_received_ = SteadyNow();
        return error || read == self->body_.size() ? size_t{0}
                                                   : self->body_.size() - read;
      },
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error || !self->is_open_) {
          self->Close();
          return;
        }
        self->HandleFrame();
      });
}

void FrameChannel::HandleFrame() {
  last_received_ = SteadyNow();
  Frame frame;
  if (!frame.ParseFromString(body_)) {
    Close();
    return;
  }
  if (frame.has_ping()) {
    Frame pong;
    pong.mutable_pong();
    Send(pong);
  } else if (!frame.has_pong() && hooks_.received_) {
    // Copied, since the hook may close this channel, which clears the hooks.
    const auto received = hooks_.received_;
    received(&frame);
  }
  if (is_open_) {
    ReadLength();
  }
}

void FrameChannel::WriteNext() {
  writing_ = std::move(queue_.front());
  queue_.pop_front();
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error || !self->is_open_) {
          self->Close();
          return;
        }
        self->queued_bytes_ -= self->writing_.size();
        self->writing_.clear();
        if (!self->queue_.empty()) {
          self->WriteNext();
        }
      });
}

}  // namespace citronlane
