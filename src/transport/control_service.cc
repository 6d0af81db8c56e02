#include "citronlane/transport/control_service.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <utility>

#include "citronlane/transport/grpc_credentials.h"
#include "control.grpc.pb.h"

namespace citronlane {
namespace {

using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;

constexpr int kKeepaliveTimeMs = 30000;
constexpr int kKeepaliveTimeoutMs = 10000;
constexpr std::chrono::seconds kShutdownTime(2);

// Watch is a raw method because ConfigFeed serializes the updates itself.
using Base = wire::Control::WithRawCallbackMethod_Watch<
    wire::Control::WithCallbackMethod_Register<
        wire::Control::WithCallbackMethod_RenewLease<
            wire::Control::WithCallbackMethod_Claim<
                wire::Control::WithCallbackMethod_FinishClaim<
                    wire::Control::WithCallbackMethod_Report<
                        wire::Control::Service>>>>>>;

class Handler final : public Base {
 public:
  Handler(size_t max_pending, ControlServiceHooks hooks)
      : max_pending_(max_pending), hooks_(std::move(hooks)) {}

  ConfigFeed::Stream* Watch(CallbackServerContext* /*context*/,
                            const grpc::ByteBuffer* bytes) override {
    grpc::ByteBuffer copy(*bytes);
    wire::WatchRequest request;
    // A malformed request counts as one of a watcher without a configuration.
    grpc::SerializationTraits<wire::WatchRequest>::Deserialize(&copy, &request);
    return hooks_.watch_(request);
  }

  ServerUnaryReactor* RenewLease(CallbackServerContext* context,
                                 const wire::LeaseRequest* request,
                                 wire::LeaseReply* reply) override {
    *reply = hooks_.renew_lease_(*request);
    ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  ServerUnaryReactor* Register(CallbackServerContext* context,
                               const wire::RegisterRequest* request,
                               wire::RegisterReply* reply) override {
    return Run(context, *request, reply, hooks_.register_);
  }
  ServerUnaryReactor* Claim(CallbackServerContext* context,
                            const wire::ClaimRequest* request,
                            wire::ClaimReply* reply) override {
    return Run(context, *request, reply, hooks_.claim_);
  }
  ServerUnaryReactor* FinishClaim(CallbackServerContext* context,
                                  const wire::FinishClaimRequest* request,
                                  wire::FinishClaimReply* reply) override {
    return Run(context, *request, reply, hooks_.finish_claim_);
  }
  ServerUnaryReactor* Report(CallbackServerContext* context,
                             const wire::ReportRequest* request,
                             wire::ReportReply* reply) override {
    return Run(context, *request, reply, hooks_.report_);
  }

 private:
  template <typename Request, typename Reply>
  ServerUnaryReactor* Run(
      CallbackServerContext* context,
      const Request& request,
      Reply* reply,
      const ControlServiceHooks::Call<Request, Reply>& call) {
    ServerUnaryReactor* reactor = context->DefaultReactor();
    if (pending_.fetch_add(1) >= max_pending_) {
      --pending_;
      reactor->Finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED,
                                   "Too many calls are pending."));
      return reactor;
    }
    call(request, [this, reactor, reply](const Reply& result) {
      *reply = result;
      --pending_;
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  const size_t max_pending_;
  const ControlServiceHooks hooks_;
  std::atomic<size_t> pending_{0};
};

}  // namespace

class ControlService::Impl {
 public:
  Impl(std::string listen,
       TlsFiles tls,
       size_t max_pending,
       ControlServiceHooks hooks)
      : listen_(std::move(listen)),
        tls_(std::move(tls)),
        handler_(max_pending, std::move(hooks)) {}

  bool Start(Error* error) {
    const auto credentials = MakeServerCredentials(tls_, error);
    if (!credentials) {
      return false;
    }
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(listen_, credentials, &port);
    builder.RegisterService(&handler_);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveTimeMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                               kKeepaliveTimeoutMs);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) {
      error->message_ = "can not listen on " + listen_;
      return false;
    }
    return true;
  }

  void Stop() {
    if (server_) {
      server_->Shutdown(std::chrono::system_clock::now() + kShutdownTime);
      server_.reset();
    }
  }

 private:
  const std::string listen_;
  const TlsFiles tls_;
  Handler handler_;
  std::unique_ptr<grpc::Server> server_;
};

ControlService::ControlService(std::string listen,
                               TlsFiles tls,
                               size_t max_pending,
                               ControlServiceHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(listen),
                                   std::move(tls),
                                   max_pending,
                                   std::move(hooks))) {}

ControlService::~ControlService() {
  Stop();
}

bool ControlService::Start(Error* error) {
  return impl_->Start(error);
}

void ControlService::Stop() {
  impl_->Stop();
}

}  // namespace citronlane
