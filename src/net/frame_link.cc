#include "citronlane/net/frame_link.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/net/frame_channel.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using wire::fleet::Frame;

/// Peers of a fleet are a few milliseconds apart. When connecting takes this
/// long, the VM is unreachable or has stopped running.
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
/// Time without received bytes after which the peer is pinged, and after which
/// the connection is closed.
constexpr Duration kPingAfter = std::chrono::milliseconds(200);
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(700);
constexpr int kAckTimeoutMs = 700;
/// Maximum number of frames that wait for a connection to be made.
constexpr size_t kMaxWaitingFrames = 4096;

}  // namespace

struct FrameLink::State : std::enable_shared_from_this<FrameLink::State> {
  State(asio::io_context* io, std::string endpoint, Hooks hooks)
      : io_(io),
        endpoint_(std::move(endpoint)),
        hooks_(std::move(hooks)),
        timer_(*io) {}

  void Connect();
  void Connected(const std::shared_ptr<asio::ip::tcp::socket>& socket);
  void Lost(Loss loss);

  asio::io_context* const io_;
  const std::string endpoint_;
  Hooks hooks_;
  asio::steady_timer timer_;
  std::shared_ptr<FrameChannel> channel_;
  std::shared_ptr<asio::ip::tcp::socket> connecting_;
  std::vector<Frame> waiting_;
  TimePoint last_ping_;
  /// Whether the connection is being closed because the peer is silent.
  bool is_silent_ = false;
};

void FrameLink::State::Connect() {
  const auto peer = ParseEndpoint(endpoint_);
  if (!peer) {
    Lost(Loss::kNoConnection);
    return;
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(*io_);
  connecting_ = socket;
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([socket](const error_code& error) {
    if (!error) {
      error_code ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect(
      *peer, [self = shared_from_this(), socket](const error_code& error) {
        if (self->connecting_ != socket) {
          return;
        }
        self->timer_.cancel();
        self->connecting_.reset();
        if (error || !socket->is_open()) {
          self->Lost(Loss::kNoConnection);
        } else {
          self->Connected(socket);
        }
      });
}

void FrameLink::State::Connected(
    const std::shared_ptr<asio::ip::tcp::socket>& socket) {
  SetSocketOptions(socket->native_handle(), kAckTimeoutMs);
  channel_ = std::make_shared<FrameChannel>(std::move(*socket));
  last_ping_ = TimePoint();
  FrameChannel::Hooks hooks;
  const std::weak_ptr<State> weak = shared_from_this();
  hooks.received_ = [weak](Frame* frame) {
    const auto self = weak.lock();
    if (self && self->hooks_.received_) {
      self->hooks_.received_(frame);
    }
  };
  hooks.closed_ = [weak] {
    if (const auto self = weak.lock()) {
      self->channel_.reset();
      self->Lost(self->is_silent_ ? Loss::kUnreachable : Loss::kEnded);
    }
  };
  const auto channel = channel_;
  channel->Start(std::move(hooks));
  std::vector<Frame> waiting;
  std::swap(waiting, waiting_);
  for (const Frame& frame : waiting) {
    channel->Send(frame);
  }
}

void FrameLink::State::Lost(Loss loss) {
  waiting_.clear();
  if (hooks_.lost_) {
    hooks_.lost_(loss);
  }
}

FrameLink::FrameLink(asio::io_context* io, std::string endpoint, Hooks hooks)
    : state_(
          std::make_shared<State>(io, std::move(endpoint), std::move(hooks))) {}

FrameLink::~FrameLink() {
  Drop();
}

void FrameLink::Send(const Frame& frame) {
  const auto channel = state_->channel_;
  if (channel) {
    channel->Send(frame);
    return;
  }
  if (state_->waiting_.size() < kMaxWaitingFrames) {
    state_->waiting_.push_back(frame);
  }
  if (!state_->connecting_) {
    state_->Connect();
  }
}

void FrameLink::Drop() {
  const Hooks hooks = std::move(state_->hooks_);
  state_->hooks_ = Hooks();
  state_->waiting_.clear();
  state_->connecting_.reset();
  state_->timer_.cancel();
  if (const auto channel = state_->channel_) {
    channel->Close();
  }
  state_->channel_.reset();
  state_->hooks_ = hooks;
}

void FrameLink::CheckAlive(TimePoint now) {
  const auto channel = state_->channel_;
  if (!channel) {
    return;
  }
  const Duration silent = now - channel->last_received();
  // Only silence after a ping counts: a peer without work sends nothing by
  // itself.
  if (silent >= kSilenceTimeout &&
      state_->last_ping_ > channel->last_received() &&
      now - state_->last_ping_ >= kSilenceTimeout - kPingAfter) {
    state_->is_silent_ = true;
    channel->Close();
    state_->is_silent_ = false;
  } else if (silent >= kPingAfter &&
             state_->last_ping_ <= channel->last_received()) {
    state_->last_ping_ = now;
    Frame ping;
    ping.mutable_ping();
    channel->Send(ping);
  }
}

const std::string& FrameLink::endpoint() const {
  return state_->endpoint_;
}

TimePoint FrameLink::last_received() const {
  return state_->channel_ ? state_->channel_->last_received() : TimePoint();
}

bool FrameLink::is_connected() const {
  return state_->channel_ != nullptr;
}

}  // namespace citronlane
