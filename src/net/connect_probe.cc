#include "citronlane/net/connect_probe.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "citronlane/base/time.h"
#include "citronlane/net/endpoint.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr int kMaxAttempts = 3;
constexpr Duration kAttemptInterval = std::chrono::milliseconds(50);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

/// One probe. Kept alive by its operations in flight.
class Probe : public std::enable_shared_from_this<Probe> {
 public:
  Probe(asio::io_context* io,
        asio::ip::tcp::endpoint peer,
        std::function<void(bool)> done)
      : stream_(*io),
        pause_(*io),
        peer_(std::move(peer)),
        done_(std::move(done)) {}

  void Connect() {
    ++attempts_;
    stream_.expires_after(kConnectTimeout);
    stream_.async_connect(peer_,
                          [self = shared_from_this()](const error_code& error) {
                            self->Connected(error);
                          });
  }

 private:
  void Connected(const error_code& error) {
    stream_.close();
    const bool is_refused = error == asio::error::connection_refused;
    if (is_refused || attempts_ >= kMaxAttempts) {
      done_(is_refused);
      return;
    }
    pause_.expires_after(kAttemptInterval);
    pause_.async_wait(
        [self = shared_from_this()](const error_code&) { self->Connect(); });
  }

  boost::beast::tcp_stream stream_;
  asio::steady_timer pause_;
  const asio::ip::tcp::endpoint peer_;
  const std::function<void(bool)> done_;
  int attempts_ = 0;
};

}  // namespace

void ProbeListener(asio::io_context* io,
                   const std::string& endpoint,
                   std::function<void(bool is_refused)> done) {
  const auto peer = ParseEndpoint(endpoint);
  if (!peer) {
    asio::post(*io, [done = std::move(done)] { done(false); });
    return;
  }
  std::make_shared<Probe>(io, *peer, std::move(done))->Connect();
}

}  // namespace citronlane
