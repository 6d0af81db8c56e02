#include "citronlane/net/frame_listener.h"

#include <utility>

#include "citronlane/net/endpoint.h"
#include "citronlane/net/frame_channel.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

/// The connection to a peer that acknowledges no data for this long is closed.
constexpr int kAckTimeoutMs = 900;

}  // namespace

FrameListener::FrameListener(boost::asio::io_context* io,
                             std::string address,
                             Hooks hooks)
    : hooks_(std::move(hooks)),
      listener_(io,
                std::move(address),
                [this](boost::asio::ip::tcp::socket socket) {
                  Accept(std::move(socket));
                }) {}

FrameListener::~FrameListener() = default;

bool FrameListener::Start(Error* error) {
  return listener_.Start(error);
}

void FrameListener::Accept(boost::asio::ip::tcp::socket socket) {
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
  channel->Start(std::move(hooks));
}

}  // namespace citronlane
