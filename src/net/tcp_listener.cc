#include "citronlane/net/tcp_listener.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "citronlane/net/endpoint.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr int kListenBacklog = 1024;
/// Without a pause, a listener that is out of file descriptors would retry in a
/// busy loop.
constexpr auto kPauseAfterError = std::chrono::milliseconds(20);

}  // namespace

struct TcpListener::State : std::enable_shared_from_this<TcpListener::State> {
  State(asio::io_context* io, std::string address, Accepted accepted)
      : address_(std::move(address)),
        accepted_(std::move(accepted)),
        acceptor_(*io),
        pause_(*io) {}

  void Accept();

  const std::string address_;
  const Accepted accepted_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
};

void TcpListener::State::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const error_code& error, tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (!error) {
          self->accepted_(std::move(socket));
          self->Accept();
          return;
        }
        self->pause_.expires_after(kPauseAfterError);
        self->pause_.async_wait([self](const error_code&) {
          if (self->acceptor_.is_open()) {
            self->Accept();
          }
        });
      });
}

TcpListener::TcpListener(asio::io_context* io,
                         std::string address,
                         Accepted accepted)
    : state_(std::make_shared<State>(io,
                                     std::move(address),
                                     std::move(accepted))) {}

TcpListener::~TcpListener() {
  Stop();
}

bool TcpListener::Start(Error* error) {
  const auto endpoint = ParseEndpoint(state_->address_);
  if (!endpoint) {
    error->message_ =
        "not an address (IP:port) to listen on: \"" + state_->address_ + "\"";
    return false;
  }
  error_code failure;
  auto& acceptor = state_->acceptor_;
  acceptor.open(endpoint->protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(*endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(kListenBacklog, failure);
  }
  if (failure) {
    error->message_ =
        "can't listen on " + state_->address_ + ": " + failure.message();
    return false;
  }
  state_->Accept();
  return true;
}

void TcpListener::Stop() {
  error_code ignored;
  state_->acceptor_.close(ignored);
  state_->pause_.cancel();
}

}  // namespace citronlane
