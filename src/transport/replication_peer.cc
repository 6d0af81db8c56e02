#include "citronlane/transport/replication_peer.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

#include "citronlane/transport/replication_codec.h"
#include "citronlane/transport/replication_greeting.h"
#include "replication.grpc.pb.h"

namespace citronlane {
namespace {

constexpr size_t kMaxQueuedMessages = 1024;
constexpr Duration kReopenDelay = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds kGreetingTimeout(500);
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 500;
constexpr int kKeepaliveMs = 2000;
constexpr int kKeepaliveTimeoutMs = 1000;

grpc::ChannelArguments ChannelSettings() {
  grpc::ChannelArguments settings;
  settings.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kReconnectMs);
  settings.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kReconnectMs);
  settings.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  settings.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  settings.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  settings.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  settings.SetMaxReceiveMessageSize(-1);
  settings.SetMaxSendMessageSize(-1);
  return settings;
}

}  // namespace

class ReplicationPeer::Impl
    : public std::enable_shared_from_this<ReplicationPeer::Impl> {
 public:
  Impl(uint64_t own_id,
       std::string own_address,
       const std::shared_ptr<grpc::Channel>& channel)
      : own_id_(own_id),
        own_address_(std::move(own_address)),
        stub_(wire::Replication::NewStub(channel)) {}

  void Send(TimePoint now, std::vector<Message> messages);
  void Greet(uint64_t own_incarnation, GreetingHook done);
  void Close();

 private:
  class Stream;
  class GreetCall;

  void Open();
  void WriteNext();
  void HandleWritten(bool ok);
  void HandleStreamEnd();
  void HandleGreeted(GreetCall* call);

  const uint64_t own_id_;
  const std::string own_address_;
  const std::unique_ptr<wire::Replication::Stub> stub_;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::deque<Message> queue_;
  Stream* stream_ = nullptr;
  bool writing_ = false;
  /// The stream is broken; it ends when gRPC calls OnDone.
  bool broken_ = false;
  bool closed_ = false;
  TimePoint reopen_at_;
  GreetCall* greeting_ = nullptr;
};

/// One open stream; deletes itself when gRPC has finished with it.
class ReplicationPeer::Impl::Stream final
    : public grpc::ClientWriteReactor<wire::RaftMessage> {
 public:
  explicit Stream(std::shared_ptr<Impl> owner) : owner_(std::move(owner)) {}

  void OnWriteDone(bool ok) override { owner_->HandleWritten(ok); }
  void OnDone(const grpc::Status& /*status*/) override {
    owner_->HandleStreamEnd();
    delete this;
  }

  grpc::ClientContext context_;
  wire::RaftMessage message_;
  wire::StepReply reply_;

 private:
  const std::shared_ptr<Impl> owner_;
};

/// One greeting in flight.
class ReplicationPeer::Impl::GreetCall {
 public:
  grpc::ClientContext context_;
  wire::HelloRequest request_;
  wire::HelloReply reply_;
  GreetingHook done_;
};

void ReplicationPeer::Impl::Send(TimePoint now, std::vector<Message> messages) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_ || broken_ || (stream_ == nullptr && now < reopen_at_)) {
    return;
  }
  for (Message& message : messages) {
    if (queue_.size() < kMaxQueuedMessages) {
      queue_.push_back(std::move(message));
    }
  }
  if (stream_ == nullptr) {
    reopen_at_ = now + kReopenDelay;
    Open();
  }
  if (!writing_) {
    WriteNext();
  }
}

// The hold keeps the stream alive between writes; HandleWritten and Close
// remove it.
void ReplicationPeer::Impl::Open() {
  stream_ = new Stream(shared_from_this());
  stream_->context_.AddMetadata("node-id", std::to_string(own_id_));
  stream_->context_.AddMetadata("node-address", own_address_);
  stub_->async()->Step(&stream_->context_, &stream_->reply_, stream_);
  stream_->AddHold();
  stream_->StartCall();
}

void ReplicationPeer::Impl::WriteNext() {
  if (queue_.empty()) {
    return;
  }
  EncodeMessage(std::move(queue_.front()), &stream_->message_);
  queue_.pop_front();
  writing_ = true;
  grpc::WriteOptions options;
  if (!queue_.empty()) {
    options.set_buffer_hint();
  }
  stream_->StartWrite(&stream_->message_, options);
}

void ReplicationPeer::Impl::HandleWritten(bool ok) {
  const std::lock_guard<std::mutex> lock(mutex_);
  writing_ = false;
  if (ok && !closed_) {
    WriteNext();
    return;
  }
  broken_ = true;
  queue_.clear();
  stream_->RemoveHold();
}

void ReplicationPeer::Impl::HandleStreamEnd() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stream_ = nullptr;
  broken_ = false;
  idle_.notify_all();
}

void ReplicationPeer::Impl::Greet(uint64_t own_incarnation, GreetingHook done) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_ || greeting_ != nullptr) {
    return;
  }
  greeting_ = new GreetCall();
  greeting_->done_ = std::move(done);
  greeting_->request_.set_node(own_id_);
  greeting_->request_.set_incarnation(own_incarnation);
  greeting_->context_.set_deadline(std::chrono::system_clock::now() +
                                   kGreetingTimeout);
  stub_->async()->Hello(
      &greeting_->context_, &greeting_->request_, &greeting_->reply_,
      [self = shared_from_this(),
       call = greeting_](const grpc::Status& status) {
        if (status.ok()) {
          ReplicationGreeting greeting;
          greeting.node_ = call->reply_.node();
          greeting.incarnation_ = call->reply_.incarnation();
          greeting.formed_ = call->reply_.formed();
          greeting.incarnations_.insert(call->reply_.incarnations().begin(),
                                        call->reply_.incarnations().end());
          call->done_(greeting);
        }
        self->HandleGreeted(call);
      });
}

void ReplicationPeer::Impl::HandleGreeted(GreetCall* call) {
  const std::lock_guard<std::mutex> lock(mutex_);
  greeting_ = nullptr;
  delete call;
  idle_.notify_all();
}

void ReplicationPeer::Impl::Close() {
  std::unique_lock<std::mutex> lock(mutex_);
  closed_ = true;
  queue_.clear();
  if (greeting_ != nullptr) {
    greeting_->context_.TryCancel();
  }
  if (stream_ != nullptr) {
    stream_->context_.TryCancel();
    if (!writing_ && !broken_) {
      broken_ = true;
      stream_->RemoveHold();
    }
  }
  idle_.wait(lock,
             [this] { return stream_ == nullptr && greeting_ == nullptr; });
}

ReplicationPeer::ReplicationPeer(
    uint64_t own_id,
    std::string own_address,
    const std::string& address,
    const std::shared_ptr<grpc::ChannelCredentials>& credentials)
    : impl_(std::make_shared<Impl>(
          own_id,
          std::move(own_address),
          grpc::CreateCustomChannel("ipv4:" + address,
                                    credentials,
                                    ChannelSettings()))) {}

ReplicationPeer::~ReplicationPeer() {
  impl_->Close();
}

void ReplicationPeer::Send(TimePoint now, std::vector<Message> messages) {
  impl_->Send(now, std::move(messages));
}

void ReplicationPeer::Greet(uint64_t own_incarnation, GreetingHook done) {
  impl_->Greet(own_incarnation, std::move(done));
}

}  // namespace citronlane
