#include "citronlane/transport/detail/lease_renewer.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"

namespace citronlane {

struct LeaseRenewer::Question {
  grpc::ClientContext context_;
  std::shared_ptr<ControlChannels::Stub> stub_;
  wire::LeaseRequest request_;
  wire::LeaseReply reply_;
  TimePoint sent_{};
};

LeaseRenewer::LeaseRenewer(ControlLink* link, Hooks hooks)
    : link_(link), hooks_(std::move(hooks)) {}

void LeaseRenewer::Ask(const std::string& address, uint64_t version) {
  const auto [open, is_new] = open_.emplace(address, version);
  if (!is_new) {
    if (open->second != version) {
      again_[address] = version;
    }
    return;
  }
  const auto question = std::make_shared<Question>();
  if (!link_->calls_.Begin(&question->context_)) {
    return;
  }
  *question->request_.mutable_gateway() = link_->gateway_;
  question->request_.set_version(version);
  question->request_.set_peers_hash(peers_hash_);
  question->stub_ = link_->channels_.Get(address);
  // The node we watch is left when it is silent for watch_timeout_ in all.
  question->context_.set_deadline(std::chrono::system_clock::now() +
                                  link_->options_.watch_timeout_ -
                                  link_->options_.renew_interval_);
  question->sent_ = SteadyNow();
  question->stub_->async()->RenewLease(
      &question->context_, &question->request_, &question->reply_,
      [this, address, question](const grpc::Status& status) {
        link_->timers_.Post([this, address, question, ok = status.ok()] {
          OnAnswer(address, *question, ok);
        });
        link_->calls_.End(&question->context_);
      });
}

void LeaseRenewer::OnAnswer(const std::string& address,
                            const Question& question,
                            bool ok) {
  open_.erase(address);
  hooks_.on_probe_(address, ok);
  if (ok) {
    told_[address] = question.request_.version();
    hooks_.on_reply_(question.reply_, question.sent_);
  }
  const auto again = again_.find(address);
  if (again != again_.end()) {
    const uint64_t version = again->second;
    again_.erase(again);
    Ask(address, version);
  }
}

void LeaseRenewer::AskUntold(uint64_t version) {
  for (const std::string& address : link_->channels_.addresses()) {
    const auto told = told_.find(address);
    if (told == told_.end() || told->second != version) {
      Ask(address, version);
    }
  }
}

void LeaseRenewer::AskOthers(const std::string& address,
                             size_t count,
                             uint64_t version) {
  std::vector<std::string> others = link_->channels_.addresses();
  others.erase(std::remove(others.begin(), others.end(), address),
               others.end());
  for (size_t i = 0; i < std::min(count, others.size()); ++i) {
    Ask(others[next_other_++ % others.size()], version);
  }
}

void LeaseRenewer::AskAll(uint64_t version) {
  for (const std::string& address : link_->channels_.addresses()) {
    Ask(address, version);
  }
}

}  // namespace citronlane
