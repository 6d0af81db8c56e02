#include "citronlane/transport/admin_server.h"

#include <charconv>
#include <cstdint>
#include <memory>
#include <shared_mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/process/machine_limits.h"
#include "citronlane/transport/fit_http_limits.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;

constexpr uint64_t kMaxBodyBytes = uint64_t{16} << 20;
constexpr uint64_t kMemoryBytes = uint64_t{48} << 20;
constexpr size_t kMaxConnections = 128;
constexpr size_t kRefusedConnections = 16;
constexpr std::chrono::seconds kReadTimeout(10);
constexpr std::chrono::seconds kIdleTimeout(15);
/// Calls of the handler at the same time.
constexpr size_t kThreads = 16;

HttpLimits AdminLimits() {
  HttpLimits limits;
  limits.body_bytes_ = kMaxBodyBytes;
  limits.memory_bytes_ = kMemoryBytes;
  limits.connections_ = kMaxConnections;
  limits.refused_connections_ = kRefusedConnections;
  limits.read_timeout_ = kReadTimeout;
  limits.idle_timeout_ = kIdleTimeout;
  return limits;
}

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

AdminRequest ToAdminRequest(const HttpRequest& http) {
  AdminRequest request;
  request.method_ = http.method_;
  request.path_ = http.Path();
  if (request.path_.size() < http.target_.size()) {
    request.query_ = http.target_.substr(request.path_.size() + 1);
  }
  request.authorization_ = http.Header("Authorization");
  request.body_ = http.body_;
  return request;
}

HttpReply ToHttpReply(AdminResponse response) {
  HttpReply reply;
  reply.status_ = response.status_;
  reply.content_type_ = std::move(response.content_type_);
  reply.body_ = std::move(response.body_);
  if (!response.location_.empty()) {
    reply.headers_.push_back({"Location", std::move(response.location_)});
  }
  if (response.retry_after_ > 0) {
    reply.headers_.push_back(
        {"Retry-After", std::to_string(response.retry_after_)});
  }
  return reply;
}

HttpReply RefuseUnreadable(RefusalReason reason) {
  HttpReply reply;
  reply.status_ = HttpStatus(reason);
  reply.content_type_ = "application/problem+json";
  reply.body_ = R"({"title":")" + std::string(Describe(reason)) + "\"}";
  return reply;
}

std::shared_ptr<asio::ssl::context> MakeTlsContext(const TlsFiles& files,
                                                   Error* error) {
  const auto context =
      std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
  boost::system::error_code failure;
  context->set_options(asio::ssl::context::default_workarounds |
                           asio::ssl::context::no_tlsv1 |
                           asio::ssl::context::no_tlsv1_1,
                       failure);
  const auto check = [&](const std::string& file) {
    if (failure && error->message_.empty()) {
      error->message_ = "can not use " + file + ": " + failure.message();
    }
  };
  context->use_certificate_chain_file(files.certificate_, failure);
  check(files.certificate_);
  context->use_private_key_file(files.private_key_, asio::ssl::context::pem,
                                failure);
  check(files.private_key_);
  if (!files.ca_.empty()) {
    context->load_verify_file(files.ca_, failure);
    check(files.ca_);
    context->set_verify_mode(
        asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert,
        failure);
  }
  return error->message_.empty() ? context : nullptr;
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(std::string listen, TlsFiles tls, Handler handler, Hooks hooks)
      : listen_(std::move(listen)),
        tls_(std::move(tls)),
        gate_(std::move(handler)),
        hooks_(std::move(hooks)) {}
  ~Impl() { Stop(); }

  bool Start(Error* error) {
    const size_t colon = listen_.rfind(':');
    std::string host = listen_.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
      host = host.substr(1, host.size() - 2);
    }
    const std::string port_text = listen_.substr(colon + 1);
    const char* const end = port_text.data() + port_text.size();
    uint16_t port = 0;
    if (std::from_chars(port_text.data(), end, port).ptr != end) {
      error->message_ = "can not listen on " + listen_ + ": no port";
      return false;
    }
    std::shared_ptr<asio::ssl::context> tls;
    if (!tls_.certificate_.empty()) {
      error->message_.clear();
      tls = MakeTlsContext(tls_, error);
      if (tls == nullptr) {
        return false;
      }
    }
    listener_ = std::make_unique<HttpListener>(
        std::vector<asio::io_context*>{&io_},
        FitHttpLimits(AdminLimits(), ReadMachineLimits()), ListenerHooks(),
        std::move(tls));
    if (!listener_->Listen(host, port, error)) {
      return false;
    }
    thread_ = std::thread([this] { io_.run(); });
    return true;
  }

  void Stop() {
    gate_.Close();
    handlers_.join();
    work_.reset();
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  HttpListenerHooks ListenerHooks() {
    HttpListenerHooks hooks;
    hooks.serve_ = [this](size_t, const HttpRequest& request,
                          HttpExchange* exchange) { Serve(request, exchange); };
    hooks.refuse_ = [this](RefusalReason reason) {
      if (hooks_.unread_) {
        hooks_.unread_(reason);
      }
      return RefuseUnreadable(reason);
    };
    hooks.place_lost_ = hooks_.place_lost_;
    if (hooks_.refuse_) {
      hooks.refuse_head_ =
          [this](const HttpRequest& head) -> std::optional<HttpReply> {
        auto response = hooks_.refuse_(ToAdminRequest(head));
        return response ? std::optional(ToHttpReply(std::move(*response)))
                        : std::nullopt;
      };
    }
    return hooks;
  }

  /// Calls the handler in a thread of the pool, since it may block.
  void Serve(const HttpRequest& http, HttpExchange* exchange) {
    struct Call {
      AdminRequest request_;
      AdminResponse response_;
      bool is_done_ = false;
      /// Null once the connection has ended.
      HttpExchange* exchange_;
    };
    const auto call = std::make_shared<Call>();
    call->request_ = ToAdminRequest(http);
    call->exchange_ = exchange;
    asio::post(handlers_, [this, call] {
      call->response_ = gate_.Call(call->request_);
      asio::post(io_, [call] {
        call->is_done_ = true;
        if (call->exchange_ != nullptr) {
          call->exchange_->Notify();
        }
      });
    });
    while (!call->is_done_ && !exchange->caller_gone()) {
      exchange->Wait();
    }
    call->exchange_ = nullptr;
    if (call->is_done_) {
      exchange->Reply(ToHttpReply(std::move(call->response_)));
    }
  }

  const std::string listen_;
  const TlsFiles tls_;
  HandlerGate gate_;
  const Hooks hooks_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  asio::thread_pool handlers_{kThreads};
  std::unique_ptr<HttpListener> listener_;
  std::thread thread_;
};

AdminServer::AdminServer(std::string listen,
                         TlsFiles tls,
                         Handler handler,
                         Hooks hooks)
    : impl_(std::make_unique<Impl>(std::move(listen),
                                   std::move(tls),
                                   std::move(handler),
                                   std::move(hooks))) {}

AdminServer::AdminServer(std::string listen, TlsFiles tls, Handler handler)
    : AdminServer(std::move(listen),
                  std::move(tls),
                  std::move(handler),
                  Hooks()) {}

AdminServer::~AdminServer() = default;

bool AdminServer::Start(Error* error) {
  return impl_->Start(error);
}

void AdminServer::Stop() {
  impl_->Stop();
}

}  // namespace citronlane
