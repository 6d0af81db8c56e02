#include "citronlane/net/frame_listener.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/net/frame_channel.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

/// The connection to a peer that acknowledges no data for this long is closed.
constexpr int kAckTimeoutMs = 900;
/// Processes of the fleet send or are sent a ping several times in this time.
constexpr Duration kMaxSilence = std::chrono::seconds(2);

}  // namespace

FrameListener::FrameListener(boost::asio::io_context* io,
                             std::string address,
                             Hooks hooks,
                             const Limits& limits)
    : hooks_(std::move(hooks)),
      limits_(limits),
      listener_(io,
                std::move(address),
                [this](boost::asio::ip::tcp::socket socket) {
                  Accept(std::move(socket));
                }) {}

FrameListener::FrameListener(boost::asio::io_context* io,
                             std::string address,
                             Hooks hooks)
    : FrameListener(io, std::move(address), std::move(hooks), Limits()) {}

FrameListener::~FrameListener() = default;

bool FrameListener::Start(Error* error) {
  return listener_.Start(error);
}

void FrameListener::Accept(boost::asio::ip::tcp::socket socket) {
  if (channels_.size() >= limits_.channels_) {
    const bool closed_silent = CloseSilent();
    if (hooks_.full_) {
      hooks_.full_(closed_silent);
    }
    if (!closed_silent) {
      return;
    }
  }
  SetSocketOptions(socket.native_handle(), kAckTimeoutMs);
  const auto channel = std::make_shared<FrameChannel>(std::move(socket));
  channels_.insert(channel);
  const std::weak_ptr<FrameChannel> weak = channel;
  FrameChannel::Hooks hooks;
  hooks.received_ = [this, weak](wire::fleet::Frame* frame) {
    if (const auto open = weak.lock()) {
      hooks_.received_(open, frame);
    }
  };
  hooks.closed_ = [this, weak] {
    if (const auto closed = weak.lock()) {
      hooks_.closed_(closed.get());
      channels_.erase(closed);
    }
  };
  // The channel owns the hook and calls it only while it exists.
  hooks.may_keep_ = [this, raw = channel.get()](size_t bytes) {
    return MayKeep(raw, bytes);
  };
  channel->Start(std::move(hooks));
}

bool FrameListener::MayKeep(const FrameChannel* channel, size_t bytes) const {
  size_t kept = bytes;
  for (const auto& other : channels_) {
    kept += other.get() == channel ? 0 : other->input_bytes();
  }
  return kept <= limits_.input_bytes_;
}

bool FrameListener::CloseSilent() {
  const auto silent =
      std::min_element(channels_.begin(), channels_.end(),
                       [](const auto& left, const auto& right) {
                         return left->last_received() < right->last_received();
                       });
  if (silent == channels_.end() ||
      SteadyNow() - (*silent)->last_received() < kMaxSilence) {
    return false;
  }
  // Closing it erases it from the set.
  const std::weak_ptr<FrameChannel> weak = *silent;
  weak.lock()->Close();
  return true;
}

}  // namespace citronlane
