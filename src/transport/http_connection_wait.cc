// What happens on a caller's connection between and during requests: the wait
// for the next request, and the watch for the caller's leaving.

#include "citronlane/transport/detail/http_connection.h"

namespace citronlane::detail {
namespace {

namespace asio = boost::asio;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

}  // namespace

void HttpConnection::CloseIfIdle() {
  if (IsWaiting() && !HasReceived()) {
    stream_.Close();
  }
}

void HttpConnection::UpdateIdleTimeout() {
  if (!IsWaiting()) {
    return;
  }
  idle_timer_.expires_at(activity_.since_ + state_->limits_.idle_timeout_);
  auto self = shared_from_this();
  idle_timer_.async_wait([self](const error_code& error) {
    // A timer that expired before it was cancelled reports no error.
    if (!error &&
        self->idle_timer_.expiry() <= asio::steady_timer::clock_type::now()) {
      self->CloseIfIdle();
    }
  });
}

bool HttpConnection::WaitForFirstByte() {
  if (buffer_.size() > 0) {
    EnterPhase(Phase::kReading);
    return true;
  }
  // The memory of a large head is not kept for an idle connection.
  if (buffer_.capacity() > kFirstReadBytes) {
    buffer_.shrink_to_fit();
  }
  Charge(0, PlaceNeeded::kConnection);
  if (!is_first_) {
    EnterPhase(Phase::kIdle);
  }
  // The bytes stay in the socket until the connection is no longer idle, so
  // that HasReceived finds every request that has arrived.
  UpdateIdleTimeout();
  error_code error;
  size_t got = 0;
  if (stream_.has_tls()) {
    // A request may have arrived in full with the one before; the socket does
    // not show it.
    got = stream_.async_read_some(buffer_.prepare(kFirstReadBytes),
                                  (*yield_)[error]);
  } else {
    got = ReadFirstBytes(&error);
  }
  buffer_.commit(got);
  is_first_ = false;
  idle_timer_.cancel();
  EnterPhase(Phase::kReading);
  return !error;
}

size_t HttpConnection::ReadFirstBytes(error_code* error) {
  size_t got = 0;
  do {
    stream_.socket().async_wait(tcp::socket::wait_read, (*yield_)[*error]);
    if (!*error && !MayRead()) {
      *error = asio::error::connection_aborted;
    }
    if (!*error) {
      got =
          stream_.socket().read_some(buffer_.prepare(kFirstReadBytes), *error);
    }
  } while (*error == asio::error::would_block);
  return got;
}

// Callers may have sent a further request before they have received all of the
// response to the one before, which would be lost with the connection.
bool HttpConnection::MayRead() {
  const auto& may_read = state_->hooks_.may_read_;
  return !is_first_ || !may_read || !HasReceived() || may_read([this] {
    return peers_->CloseOne(PlaceNeeded::kRequest, state_->MinReadRate(), this);
  });
}

bool HttpConnection::HasReceived() {
  error_code error;
  return buffer_.size() > 0 || stream_.socket().available(error) > 0;
}

void HttpConnection::WatchCaller() {
  // Bytes of a pipelined request end the watch, because a close behind them
  // can't be detected.
  watching_ = true;
  auto self = shared_from_this();
  stream_.socket().async_wait(
      tcp::socket::wait_read, [self](const error_code& error) {
        if (!error && self->watching_ && self->IsClosed()) {
          self->caller_gone_ = true;
          self->Notify();
        }
      });
}

void HttpConnection::StopWatching() {
  watching_ = false;
  error_code error;
  stream_.socket().cancel(error);
}

bool HttpConnection::IsClosed() {
  error_code error;
  char byte = 0;
  stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                           error);
  return error && error != asio::error::would_block;
}

}  // namespace citronlane::detail
