#include "citronlane/transport/detail/lease_renewer.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"

namespace citronlane {

struct LeaseRenewer::Renewal {
  grpc::ClientContext context_;
  std::shared_ptr<ControlChannels::Stub> stub_;
  wire::LeaseRequest request_;
  wire::LeaseReply reply_;
  TimePoint sent_{};
};

LeaseRenewer::LeaseRenewer(ControlLink* link, Hooks hooks)
    : link_(link), hooks_(std::move(hooks)) {}

void LeaseRenewer::Renew(const std::string& address, uint64_t version) {
  const auto [entry, is_new] = in_flight_.emplace(address, version);
  if (!is_new) {
    if (entry->second != version) {
      next_versions_[address] = version;
    }
    return;
  }
  const auto renewal = std::make_shared<Renewal>();
  if (!link_->calls_.Begin(&renewal->context_)) {
    return;
  }
  *renewal->request_.mutable_gateway() = link_->gateway_;
  renewal->request_.set_version(version);
  renewal->request_.set_peers_hash(peers_hash_);
  renewal->stub_ = link_->channels_.Get(address);
  // Renewals start every renew_interval_, so that the watched node is dropped
  // when it has been silent for watch_timeout_ in total.
  renewal->context_.set_deadline(std::chrono::system_clock::now() +
                                 link_->options_.watch_timeout_ -
                                 link_->options_.renew_interval_);
  renewal->sent_ = SteadyNow();
  renewal->stub_->async()->RenewLease(
      &renewal->context_, &renewal->request_, &renewal->reply_,
      [this, address, renewal](const grpc::Status& status) {
        link_->timers_.Post([this, address, renewal, ok = status.ok()] {
          OnDone(address, *renewal, ok);
        });
        link_->calls_.End(&renewal->context_);
      });
}

void LeaseRenewer::OnDone(const std::string& address,
                          const Renewal& renewal,
                          bool ok) {
  in_flight_.erase(address);
  hooks_.on_probe_(address, ok);
  if (ok) {
    confirmed_versions_[address] = renewal.request_.version();
    hooks_.on_reply_(renewal.reply_, renewal.sent_);
  }
  const auto next = next_versions_.find(address);
  if (next != next_versions_.end()) {
    const uint64_t version = next->second;
    next_versions_.erase(next);
    Renew(address, version);
  }
}

void LeaseRenewer::RenewAtOutdated(uint64_t version) {
  for (const std::string& address : link_->channels_.addresses()) {
    const auto confirmed = confirmed_versions_.find(address);
    if (confirmed == confirmed_versions_.end() ||
        confirmed->second != version) {
      Renew(address, version);
    }
  }
}

void LeaseRenewer::RenewAtOthers(const std::string& address,
                                 size_t count,
                                 uint64_t version) {
  std::vector<std::string> others = link_->channels_.addresses();
  others.erase(std::remove(others.begin(), others.end(), address),
               others.end());
  for (size_t i = 0; i < std::min(count, others.size()); ++i) {
    Renew(others[next_other_++ % others.size()], version);
  }
}

void LeaseRenewer::RenewAtAll(uint64_t version) {
  for (const std::string& address : link_->channels_.addresses()) {
    Renew(address, version);
  }
}

}  // namespace citronlane
