#include "citronlane/transport/detail/config_watcher.h"

#include <grpcpp/grpcpp.h>
#include <xxhash.h>

#include <utility>
#include <vector>

namespace citronlane {

/// One stream. Owns itself until gRPC has finished with it.
class ConfigWatcher::Session final
    : public grpc::ClientReadReactor<wire::ConfigUpdate>,
      public std::enable_shared_from_this<Session> {
 public:
  Session(ConfigWatcher* watcher, uint64_t serial)
      : watcher_(watcher), link_(watcher->link_), serial_(serial) {}

  void Begin(const std::string& address, uint64_t version) {
    if (!link_->calls_.Begin(&context_)) {
      return;
    }
    self_ = shared_from_this();
    stub_ = link_->channels_.Get(address);
    *request_.mutable_gateway() = link_->gateway_;
    request_.set_version(version);
    stub_->async()->Watch(&context_, &request_, this);
    StartRead(&update_);
    StartCall();
  }

  void Cancel() { context_.TryCancel(); }

  void OnReadDone(bool ok) override {
    if (!ok) {
      return;
    }
    // The next update is read when this one is in force, so that at most one is
    // pending.
    AddHold();
    link_->timers_.Post([self = shared_from_this()] {
      self->watcher_->OnUpdate(self->serial_, self->update_);
      if (!self->link_->calls_.is_stopping()) {
        self->update_.Clear();
        self->StartRead(&self->update_);
      }
      self->RemoveHold();
    });
  }

  void OnDone(const grpc::Status& /*status*/) override {
    const std::shared_ptr<Session> self = std::move(self_);
    link_->timers_.Post([self] { self->watcher_->OnEnd(self->serial_); });
    link_->calls_.End(&context_);
  }

 private:
  ConfigWatcher* const watcher_;
  ControlLink* const link_;
  const uint64_t serial_;
  grpc::ClientContext context_;
  std::shared_ptr<ControlChannels::Stub> stub_;
  wire::WatchRequest request_;
  wire::ConfigUpdate update_;
  std::shared_ptr<Session> self_;
};

ConfigWatcher::ConfigWatcher(ControlLink* link, Hooks hooks)
    : link_(link), hooks_(std::move(hooks)) {
  const std::string& name = link->options_.gateway_;
  // Distributes the gateways over the control VMs.
  next_ = XXH64(name.data(), name.size(), link->options_.incarnation_);
}

void ConfigWatcher::Start() {
  Open();
}

void ConfigWatcher::SwitchNode() {
  hooks_.on_switch_(address_);
  CloseSession();
  Open();
}

void ConfigWatcher::Restart() {
  CloseSession();
  --next_;
  Open();
}

void ConfigWatcher::Open() {
  const std::vector<std::string> addresses = link_->channels_.addresses();
  address_ = addresses[next_++ % addresses.size()];
  session_ = std::make_shared<Session>(this, ++serial_);
  session_->Begin(address_, hooks_.version_());
}

void ConfigWatcher::OnUpdate(uint64_t serial,
                             const wire::ConfigUpdate& update) {
  if (serial == serial_) {
    hooks_.on_update_(update);
  }
}

void ConfigWatcher::OnEnd(uint64_t serial) {
  if (serial != serial_ || link_->calls_.is_stopping()) {
    return;
  }
  const uint64_t ended = serial_;
  link_->timers_.After(link_->options_.retry_delay_, [this, ended] {
    if (ended == serial_ && !link_->calls_.is_stopping()) {
      SwitchNode();
    }
  });
}

void ConfigWatcher::CloseSession() {
  ++serial_;
  if (session_) {
    session_->Cancel();
    session_.reset();
  }
}

}  // namespace citronlane
