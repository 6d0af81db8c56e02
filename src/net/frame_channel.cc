#include "citronlane/net/frame_channel.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/traffic_count.h"
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
constexpr size_t kLengthBytes = 4;
/// Holds several frames of the usual sizes, so that one read receives them all.
constexpr size_t kInputBytes = size_t{4} << 10;
/// Small frames are written together up to this size; a ping waits behind no
/// more than that.
constexpr size_t kMaxWriteBytes = size_t{16} << 10;

std::string EncodeWithLength(const Frame& frame) {
  std::string bytes(kLengthBytes, '\0');
  frame.AppendToString(&bytes);
  auto size = static_cast<uint32_t>(bytes.size() - kLengthBytes);
  for (size_t i = kLengthBytes; i > 0; --i) {
    bytes[i - 1] = static_cast<char>(size);
    size >>= kBitsPerByte;
  }
  return bytes;
}

}  // namespace

FrameChannel::FrameChannel(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)),
      input_(kInputBytes),
      last_received_(SteadyNow()) {}

void FrameChannel::Start(Hooks hooks) {
  hooks_ = std::move(hooks);
  ReadSome();
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

void FrameChannel::ReadSome() {
  socket_.async_read_some(
      asio::buffer(input_.data() + input_end_, input_.size() - input_end_),
      [self = shared_from_this()](const error_code& error, size_t size) {
        if (error || !self->is_open_) {
          self->Close();
          return;
        }
        // Also set by a part of a frame: a peer that is sending a large frame
        // must not count as silent.
        self->last_received_ = SteadyNow();
        self->input_end_ += size;
        CountTraffic(size);
        self->HandleInput();
      });
}

std::optional<size_t> FrameChannel::FirstFrameBytes() const {
  if (input_end_ - input_begin_ < kLengthBytes) {
    return 0;
  }
  uint32_t size = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    size = size << kBitsPerByte |
           static_cast<unsigned char>(input_[input_begin_ + i]);
  }
  return size > kMaxFrameBytes ? std::nullopt
                               : std::optional(kLengthBytes + size);
}

void FrameChannel::HandleInput() {
  while (true) {
    const auto bytes = FirstFrameBytes();
    if (!bytes) {
      Close();
      return;
    }
    if (*bytes == 0 || input_end_ - input_begin_ < *bytes) {
      if (MakeRoom(*bytes)) {
        ReadSome();
      } else {
        Close();
      }
      return;
    }
    const char* const data = input_.data() + input_begin_ + kLengthBytes;
    input_begin_ += *bytes;
    HandleFrame(data, *bytes - kLengthBytes);
    if (!is_open_) {
      return;
    }
  }
}

bool FrameChannel::MakeRoom(size_t frame_bytes) {
  std::copy(input_.begin() + static_cast<std::ptrdiff_t>(input_begin_),
            input_.begin() + static_cast<std::ptrdiff_t>(input_end_),
            input_.begin());
  input_end_ -= input_begin_;
  input_begin_ = 0;
  // Grows with what has arrived, not by what the peer announces.
  const size_t size = std::min(std::max(kInputBytes, frame_bytes),
                               kInputBytes + 2 * input_end_);
  const bool is_smaller = size < input_.size();
  if (size > std::max(input_.size(), kInputBytes) && hooks_.may_keep_ &&
      !hooks_.may_keep_(size)) {
    return false;
  }
  // Without it the vector could allocate twice as much.
  input_.reserve(size);
  input_.resize(size);
  if (is_smaller) {
    // The memory of a large frame is not kept for each connection.
    input_.shrink_to_fit();
  }
  return true;
}

void FrameChannel::HandleFrame(const char* data, size_t size) {
  Frame frame;
  if (!frame.ParseFromArray(data, static_cast<int>(size))) {
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
}

// Small frames that wait are written together: each write costs as much as the
// frame itself.
void FrameChannel::WriteNext() {
  writing_ = std::move(queue_.front());
  queue_.pop_front();
  while (!queue_.empty() &&
         writing_.size() + queue_.front().size() <= kMaxWriteBytes) {
    writing_ += queue_.front();
    queue_.pop_front();
  }
  asio::async_write(
      socket_, asio::buffer(writing_),
      [self = shared_from_this()](const error_code& error, size_t) {
        if (error || !self->is_open_) {
          self->Close();
          return;
        }
        CountTraffic(self->writing_.size());
        self->queued_bytes_ -= self->writing_.size();
        self->writing_.clear();
        if (!self->queue_.empty()) {
          self->WriteNext();
        }
      });
}

}  // namespace citronlane
