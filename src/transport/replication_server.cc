#include "citronlane/transport/replication_server.h"

#include <grpcpp/grpcpp.h>

#include <charconv>
#include <string_view>
#include <utility>

#include "citronlane/transport/replication_codec.h"
#include "citronlane/transport/replication_greeting.h"
#include "replication.grpc.pb.h"

namespace citronlane {
namespace {

constexpr int kMinPingIntervalMs = 500;

std::string_view MetadataOf(const grpc::CallbackServerContext& context,
                            const char* name) {
  const auto it = context.client_metadata().find(name);
  if (it == context.client_metadata().end()) {
    return {};
  }
  return {it->second.data(), it->second.size()};
}

/// One stream from another node; deletes itself when it has ended.
class Receiver final : public grpc::ServerReadReactor<wire::RaftMessage> {
 public:
  explicit Receiver(const ReplicationServer::Hooks& hooks) : hooks_(hooks) {
    StartRead(&message_);
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      Finish(grpc::Status::OK);
      return;
    }
    if (auto message = DecodeMessage(&message_)) {
      hooks_.received_(std::move(*message));
    }
    StartRead(&message_);
  }

  void OnDone() override { delete this; }

 private:
  const ReplicationServer::Hooks& hooks_;
  wire::RaftMessage message_;
};

class Service final : public wire::Replication::CallbackService {
 public:
  explicit Service(const ReplicationServer::Hooks& hooks) : hooks_(hooks) {}

  grpc::ServerReadReactor<wire::RaftMessage>* Step(
      grpc::CallbackServerContext* context,
      wire::StepReply* /*reply*/) override {
    const std::string_view id = MetadataOf(*context, "node-id");
    const std::string_view address = MetadataOf(*context, "node-address");
    uint64_t node = 0;
    std::from_chars(id.data(), id.data() + id.size(), node);
    if (node != 0 && !address.empty()) {
      hooks_.peer_contacted_(node, std::string(address));
    }
    return new Receiver(hooks_);
  }

  grpc::ServerUnaryReactor* Hello(grpc::CallbackServerContext* context,
                                  const wire::HelloRequest* /*request*/,
                                  wire::HelloReply* reply) override {
    const ReplicationGreeting greeting = hooks_.greet_();
    reply->set_node(greeting.node_);
    reply->set_incarnation(greeting.incarnation_);
    reply->set_formed(greeting.formed_);
    reply->mutable_incarnations()->insert(greeting.incarnations_.begin(),
                                          greeting.incarnations_.end());
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  const ReplicationServer::Hooks& hooks_;
};

}  // namespace

class ReplicationServer::Impl {
 public:
  Impl(std::string listen,
       std::shared_ptr<grpc::ServerCredentials> credentials,
       Hooks hooks)
      : listen_(std::move(listen)),
        credentials_(std::move(credentials)),
        hooks_(std::move(hooks)),
        service_(hooks_) {}

  ~Impl() {
    if (server_) {
      server_->Shutdown(std::chrono::system_clock::now());
      server_->Wait();
    }
  }

  bool Start(Error* error) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(listen_, credentials_, &port_);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        kMinPingIntervalMs);
    builder.SetMaxReceiveMessageSize(-1);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) {
      error->message_ = "can not listen on " + listen_;
      return false;
    }
    return true;
  }

  int port() const { return port_; }

 private:
  const std::string listen_;
  const std::shared_ptr<grpc::ServerCredentials> credentials_;
  const Hooks hooks_;
  Service service_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

ReplicationServer::ReplicationServer(
    std::string listen,
    std::shared_ptr<grpc::ServerCredentials> credentials,
    Hooks hooks)
    : impl_(std::make_unique<Impl>(std::move(listen),
                                   std::move(credentials),
                                   std::move(hooks))) {}

ReplicationServer::~ReplicationServer() = default;

bool ReplicationServer::Start(Error* error) {
  return impl_->Start(error);
}

int ReplicationServer::port() const {
  return impl_->port();
}

}  // namespace citronlane
