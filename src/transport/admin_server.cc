#include "citronlane/transport/admin_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <exception>
#include <future>
#include <istream>
#include <ostream>
#include <shared_mutex>
#include <thread>
#include <utility>

namespace citronlane {
namespace {

constexpr size_t kMaxBodyBytes = size_t{16} << 20;
constexpr size_t kReadBytes = 8192;
constexpr unsigned kMinThreads = 2;
constexpr unsigned kMaxThreads = 16;
constexpr int kReadTimeoutMs = 10000;
constexpr int kKeepAliveMs = 15000;
constexpr int kVerifyClient = 2;
constexpr std::chrono::seconds kStopLimit(2);

std::string HeaderOf(const cxxtools::http::Request& request, const char* name) {
  const char* value = request.getHeader(name);
  return value == nullptr ? std::string() : std::string(value);
}

/// Reads one request at a time and responds to it. Each thread of the server
/// uses its own responder.
class HookResponder final : public cxxtools::http::Responder {
 public:
  HookResponder(cxxtools::http::Service& service,
                const AdminServer::Handler& handler)
      : cxxtools::http::Responder(service), handler_(handler) {}

  void beginRequest(cxxtools::net::TcpSocket& socket,
                    std::istream& in,
                    cxxtools::http::Request& request) override {
    cxxtools::http::Responder::beginRequest(socket, in, request);
    body_.clear();
    is_truncated_ = false;
  }

  // Reads the body to its end, but keeps at most kMaxBodyBytes, so that the
  // caller of a too large request gets a response.
  std::size_t readBody(std::istream& in) override {
    std::array<char, kReadBytes> bytes{};
    const std::streamsize count = in.readsome(bytes.data(), bytes.size());
    const auto read = static_cast<size_t>(std::max<std::streamsize>(count, 0));
    const size_t kept = std::min(read, kMaxBodyBytes - body_.size());
    body_.append(bytes.data(), kept);
    is_truncated_ = is_truncated_ || kept < read;
    return read;
  }

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    AdminRequest call;
    call.method_ = request.method();
    call.path_ = request.url();
    call.query_ = request.qparams();
    call.authorization_ = HeaderOf(request, "Authorization");
    call.body_ = std::move(body_);
    call.is_truncated_ = is_truncated_;
    const AdminResponse response = handler_(call);
    reply.httpReturn(static_cast<unsigned>(response.status_),
                     response.status_ < kFirstError ? "OK" : "Error");
    reply.setHeader("Content-Type", response.content_type_.c_str());
    if (!response.location_.empty()) {
      reply.setHeader("Location", response.location_.c_str());
    }
    if (response.retry_after_ > 0) {
      reply.setHeader("Retry-After",
                      std::to_string(response.retry_after_).c_str());
    }
    out << response.body_;
  }

 private:
  static constexpr int kFirstError = 300;

  const AdminServer::Handler& handler_;
  std::string body_;
  bool is_truncated_ = false;
};

/// Calls the handler until it is closed. After that, requests get status 503
/// and nothing of the handler's owner is accessed.
class HandlerGate {
 public:
  explicit HandlerGate(AdminServer::Handler handler)
      : handler_(std::move(handler)) {}

  AdminResponse Call(const AdminRequest& request) const {
    const std::shared_lock lock(mutex_);
    if (is_closed_) {
      AdminResponse response;
      response.status_ = kUnavailable;
      return response;
    }
    return handler_(request);
  }
  /// Returns when no call is in the handler.
  void Close() {
    const std::unique_lock lock(mutex_);
    is_closed_ = true;
  }

 private:
  static constexpr int kUnavailable = 503;

  const AdminServer::Handler handler_;
  mutable std::shared_mutex mutex_;
  bool is_closed_ = false;
};

class HookService final : public cxxtools::http::Service {
 public:
  explicit HookService(AdminServer::Handler handler)
      : gate_(std::move(handler)), call_([this](const AdminRequest& request) {
          return gate_.Call(request);
        }) {}

  void Close() { gate_.Close(); }

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new HookResponder(*this, call_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  HandlerGate gate_;
  const AdminServer::Handler call_;
};

/// State used by the library's threads. Leaked if they don't end; see Stop.
struct ServerState {
  explicit ServerState(AdminServer::Handler handler)
      : service_(std::move(handler)) {}

  HookService service_;
  cxxtools::EventLoop loop_;
  std::unique_ptr<cxxtools::http::Server> server_;
};

}  // namespace

class AdminServer::Impl {
 public:
  Impl(std::string listen, TlsFiles tls, Handler handler)
      : listen_(std::move(listen)),
        tls_(std::move(tls)),
        state_(std::make_unique<ServerState>(std::move(handler))) {}
  ~Impl() { Stop(); }

  bool Start(Error* error) {
    const size_t colon = listen_.rfind(':');
    std::string host = listen_.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
      host = host.substr(1, host.size() - 2);
    }
    try {
      const auto port =
          static_cast<uint16_t>(std::stoul(listen_.substr(colon + 1)));
      state_->server_ = std::make_unique<cxxtools::http::Server>(state_->loop_);
      Listen(host, port, state_->server_.get());
    } catch (const std::exception& failure) {
      state_->server_.reset();
      error->message_ = "can not listen on " + listen_ + ": " + failure.what();
      return false;
    }
    std::promise<void> ended;
    ended_ = ended.get_future();
    thread_ =
        std::thread([state = state_.get(), ended = std::move(ended)]() mutable {
          state->loop_.run();
          ended.set_value();
        });
    return true;
  }

  // After a failed TLS handshake the library's threads may deadlock. They are
  // then detached, and the state that they use is leaked.
  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    state_->service_.Close();
    state_->loop_.exit();
    if (ended_.wait_for(kStopLimit) == std::future_status::ready) {
      thread_.join();
      state_->server_.reset();
    } else {
      thread_.detach();
      static_cast<void>(state_.release());
    }
  }

 private:
  void Listen(const std::string& host,
              uint16_t port,
              cxxtools::http::Server* server) {
    server->minThreads(kMinThreads);
    server->maxThreads(kMaxThreads);
    server->readTimeout(cxxtools::Milliseconds(kReadTimeoutMs));
    server->keepAliveTimeout(cxxtools::Milliseconds(kKeepAliveMs));
    server->addService(cxxtools::Regex(".*"), state_->service_);
    server->listen(host, port, tls_.certificate_, tls_.private_key_,
                   tls_.ca_.empty() ? 0 : kVerifyClient, tls_.ca_);
  }

  const std::string listen_;
  const TlsFiles tls_;
  std::unique_ptr<ServerState> state_;
  std::future<void> ended_;
  std::thread thread_;
};

AdminServer::AdminServer(std::string listen, TlsFiles tls, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(listen),
                                   std::move(tls),
                                   std::move(handler))) {}

AdminServer::~AdminServer() = default;

bool AdminServer::Start(Error* error) {
  return impl_->Start(error);
}

void AdminServer::Stop() {
  impl_->Stop();
}

}  // namespace citronlane
