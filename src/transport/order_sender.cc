#include "citronlane/transport/order_sender.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <set>
#include <thread>
#include <utility>

namespace citronlane {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr uint64_t kMaxReplyBytes = 65536;

OrderSender::Outcome OutcomeOf(http::status status) {
  if (status == http::status::ok) {
    return OrderSender::Outcome::kDone;
  }
  // 409: the fencing number is outdated. Other 4xx: the order is invalid.
  return http::to_status_class(status) == http::status_class::client_error
             ? OrderSender::Outcome::kRefused
             : OrderSender::Outcome::kFailed;
}

}  // namespace

class OrderSender::Impl {
 public:
  Impl() : guard_(asio::make_work_guard(context_)) {
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Impl() { Stop(); }

  void Send(const std::string& address,
            uint16_t port,
            std::string body,
            TimePoint until,
            Done done) {
    asio::spawn(context_,
                [this, address, port, body = std::move(body), until,
                 done = std::move(done)](const asio::yield_context& yield) {
                  done(Call(address, port, body, until, yield));
                });
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    asio::post(context_, [this] {
      stopping_ = true;
      for (beast::tcp_stream* stream : streams_) {
        stream->cancel();
      }
    });
    guard_.reset();
    thread_.join();
  }

 private:
  Outcome Call(const std::string& address,
               uint16_t port,
               const std::string& body,
               TimePoint until,
               const asio::yield_context& yield) {
    beast::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error || stopping_) {
      return Outcome::kFailed;
    }
    beast::tcp_stream stream(context_);
    streams_.insert(&stream);
    // One deadline for the complete exchange, and a reset at its end, so that
    // no byte of the order can arrive later.
    stream.expires_at(until);
    const Outcome outcome =
        Exchange(&stream, asio::ip::tcp::endpoint(ip, port), body, yield);
    streams_.erase(&stream);
    stream.socket().set_option(asio::socket_base::linger(true, 0), error);
    stream.socket().close(error);
    return outcome;
  }

  static Outcome Exchange(beast::tcp_stream* stream,
                          const asio::ip::tcp::endpoint& endpoint,
                          const std::string& body,
                          const asio::yield_context& yield) {
    beast::error_code error;
    stream->async_connect(endpoint, yield[error]);
    if (error) {
      return Outcome::kFailed;
    }
    http::request<http::string_body> request(http::verb::post, "/v1/orders",
                                             kHttp11);
    request.set(http::field::host, endpoint.address().to_string());
    request.set(http::field::content_type, "application/json");
    request.set(http::field::connection, "close");
    request.body() = body;
    request.prepare_payload();
    http::async_write(*stream, request, yield[error]);
    if (error) {
      return Outcome::kFailed;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxReplyBytes);
    http::async_read(*stream, buffer, parser, yield[error]);
    return error ? Outcome::kFailed : OutcomeOf(parser.get().result());
  }

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::set<beast::tcp_stream*> streams_;
  bool stopping_ = false;
  std::thread thread_;
};

OrderSender::OrderSender() : impl_(std::make_unique<Impl>()) {}

OrderSender::~OrderSender() = default;

void OrderSender::Send(const std::string& address,
                       uint16_t port,
                       std::string body,
                       TimePoint until,
                       Done done) {
  impl_->Send(address, port, std::move(body), until, std::move(done));
}

void OrderSender::Stop() {
  impl_->Stop();
}

}  // namespace citronlane
