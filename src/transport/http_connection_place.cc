// The place of a connection among those of its listener: what it reserves, and
// how it takes or loses a place.

#include "citronlane/transport/detail/http_connection.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"

namespace citronlane::detail {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Memory of a connection without a request: the used part of its stack, its
/// buffer and the socket.
constexpr uint64_t kConnectionBytes = uint64_t{24} << 10;
/// Memory of the TLS state of a connection.
constexpr uint64_t kTlsBytes = uint64_t{64} << 10;
/// Turns of the event loop until a closed connection has ended.
constexpr int kTurnsToClose = 8;
/// Memory that is always available besides one body of the maximum size.
constexpr uint64_t kMinMemoryBytes = uint64_t{2} << 20;

}  // namespace

bool HttpConnection::TakePlace() {
  const bool is_over = state_->connections_ > state_->limits_.connections_;
  return (!is_over || peers_->CloseOne(PlaceNeeded::kConnection,
                                       state_->MinReadRate(), this)) &&
         Charge(0, PlaceNeeded::kConnection);
}

bool HttpConnection::Charge(uint64_t bytes, PlaceNeeded needed) {
  // One body of maximum size is always accepted, even if memory_bytes_ is
  // lower.
  const HttpLimits& limits = state_->limits_;
  const uint64_t limit =
      std::max(limits.memory_bytes_, limits.body_bytes_ + kMinMemoryBytes);
  bool has_room = charge_.Resize(OwnBytes() + bytes, limit);
  while (!has_room && peers_->CloseOne(needed, state_->MinReadRate(), this)) {
    // The closed connection gives its memory back in its own coroutine.
    for (int turn = 0; turn < kTurnsToClose && !has_room; ++turn) {
      asio::post(stream_.get_executor(), *yield_);
      has_room = charge_.Resize(OwnBytes() + bytes, limit);
    }
  }
  return has_room;
}

uint64_t HttpConnection::OwnBytes() const {
  return kConnectionBytes + (stream_.has_tls() ? kTlsBytes : 0);
}

void HttpConnection::EnterPhase(Phase phase) {
  activity_ = {phase, SteadyNow(), 0};
}

bool HttpConnection::IsWaiting() const {
  return activity_.phase_ == Phase::kNew || activity_.phase_ == Phase::kIdle;
}

bool HttpConnection::IsCloseable() {
  error_code error;
  // Bytes that wait to be read show that the caller doesn't stall.
  return !lost_place_ && (activity_.phase_ == Phase::kClosing ||
                          stream_.socket().available(error) == 0);
}

void HttpConnection::CloseForOther() {
  lost_place_ = true;
  if (state_->hooks_.place_lost_) {
    state_->hooks_.place_lost_(
        ToString(activity_.phase_),
        StallOf(activity_, state_->MinReadRate(), SteadyNow()));
  }
  stream_.Close();
}

}  // namespace citronlane::detail
