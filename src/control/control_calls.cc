#include "citronlane/control/detail/control_calls.h"

#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"

namespace citronlane {
namespace {

/// ClassSpend.rate counts requests per this many seconds.
constexpr double kRatePeriodSeconds = 1000;

uint64_t ToWhole(double value) {
  return value > 0 ? static_cast<uint64_t>(std::llround(value)) : 0;
}

}  // namespace

ControlCalls::ControlCalls(const ControlOptions& options,
                           ControlState* state,
                           CommandProposer* proposer,
                           StatusHook status,
                           std::function<void(std::string_view)> log)
    : options_(options),
      state_(state),
      proposer_(proposer),
      status_(std::move(status)),
      crashes_(std::move(log)) {}

ControlServiceHooks ControlCalls::MakeHooks() {
  ControlServiceHooks hooks;
  hooks.watch_ = [this](const wire::WatchRequest& request) {
    return state_->OpenWatch(request.version());
  };
  hooks.renew_lease_ = [this](const wire::LeaseRequest& request) {
    const ReplicaStatus status = status_();
    wire::LeaseReply reply = state_->RenewLease(request, status);
    AddSuspects(status, &reply);
    return reply;
  };
  hooks.register_ = [this](const auto& request, auto done) {
    Register(request, std::move(done));
  };
  hooks.claim_ = [this](const auto& request, auto done) {
    Claim(request, std::move(done));
  };
  hooks.finish_claim_ = [this](const auto& request, auto done) {
    FinishClaim(request, std::move(done));
  };
  hooks.report_ = [this](const auto& request, auto done) {
    Report(request, std::move(done));
  };
  return hooks;
}

std::string ControlCalls::LeaderAddress() const {
  const uint64_t leader = status_().leader_;
  std::string address;
  state_->View([&](const StateMachine& state) {
    const auto found = state.peers().find(leader);
    if (found != state.peers().end()) {
      address = found->second.control();
    }
  });
  const auto configured = options_.peers_.find(leader);
  if (address.empty() && configured != options_.peers_.end()) {
    address = configured->second.control_;
  }
  return address;
}

void ControlCalls::Register(const wire::RegisterRequest& request,
                            Done<wire::RegisterReply> done) {
  wire::StateCommand command;
  *command.mutable_register_gateway()->mutable_gateway() = request.gateway();
  command.mutable_register_gateway()->set_claim_retention_ms(
      options_.limits_.claim_retention_ms_);
  proposer_->Propose(std::move(command),
                     [this, done = std::move(done)](
                         const std::optional<wire::StateResult>& result,
                         const Error& /*error*/) {
                       wire::RegisterReply reply;
                       reply.set_done(result && result->done());
                       if (!result) {
                         reply.set_leader(LeaderAddress());
                       }
                       done(reply);
                     });
}

void ControlCalls::Claim(const wire::ClaimRequest& request,
                         Done<wire::ClaimReply> done) {
  wire::StateCommand command;
  wire::ClaimCommand* claim = command.mutable_claim();
  *claim->mutable_gateway() = request.gateway();
  claim->set_account(request.account());
  claim->set_key(request.key());
  claim->set_body_digest(request.body_digest());
  claim->set_claim_id(request.claim_id());
  claim->set_max_claims(options_.limits_.max_claims_);
  proposer_->Propose(std::move(command),
                     [this, done = std::move(done)](
                         const std::optional<wire::StateResult>& result,
                         const Error& /*error*/) {
                       wire::ClaimReply reply;
                       if (result) {
                         reply = result->claim();
                       } else {
                         reply.set_leader(LeaderAddress());
                       }
                       done(reply);
                     });
}

void ControlCalls::FinishClaim(const wire::FinishClaimRequest& request,
                               Done<wire::FinishClaimReply> done) {
  const StateLimits& limits = options_.limits_;
  wire::StateCommand command;
  wire::FinishCommand* finish = command.mutable_finish();
  *finish->mutable_gateway() = request.gateway();
  finish->set_account(request.account());
  finish->set_key(request.key());
  finish->set_claim_id(request.claim_id());
  finish->set_release(request.release());
  finish->set_status(request.status());
  finish->set_content_type(request.content_type());
  finish->set_answer(request.answer());
  finish->set_retention_ms(request.release() ? limits.release_retention_ms_
                                             : limits.claim_retention_ms_);
  finish->set_answer_bytes(limits.answer_bytes_);
  finish->set_total_answer_bytes(limits.total_answer_bytes_);
  proposer_->Propose(std::move(command),
                     [this, done = std::move(done)](
                         const std::optional<wire::StateResult>& result,
                         const Error& /*error*/) {
                       wire::FinishClaimReply reply;
                       reply.set_committed(result.has_value());
                       reply.set_done(result && result->done());
                       if (!result) {
                         reply.set_leader(LeaderAddress());
                       }
                       done(reply);
                     });
}

void ControlCalls::Report(const wire::ReportRequest& request,
                          Done<wire::ReportReply> done) {
  ProposeLeavingServers(request);
  TakeCrashes(request);
  wire::StateCommand command;
  wire::ReportCommand* report = command.mutable_report();
  *report->mutable_gateway() = request.gateway();
  report->set_sequence(request.sequence());
  *report->mutable_refusals() = request.refusals();
  report->set_refusals_dropped(request.refusals_dropped());
  for (const wire::UsageReport& usage : request.usage()) {
    wire::ClassSpend* spend = report->add_spend();
    spend->set_class_name(usage.class_name());
    spend->set_spent(ToWhole(usage.spent()));
    spend->set_rate(ToWhole(usage.requests_per_second() * kRatePeriodSeconds));
  }
  AddLimits(report);
  report->set_share_valid_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          options_.spend_lease_)
          .count()));
  report->set_max_refusals(options_.limits_.refusals_);
  proposer_->Propose(std::move(command),
                     [this, done = std::move(done)](
                         const std::optional<wire::StateResult>& result,
                         const Error& /*error*/) {
                       wire::ReportReply reply;
                       reply.set_accepted(result.has_value());
                       if (result) {
                         *reply.mutable_shares() = result->shares();
                         AddSuspects(status_(), &reply);
                       } else {
                         reply.set_leader(LeaderAddress());
                       }
                       done(reply);
                     });
}

void ControlCalls::AddLimits(wire::ReportCommand* report) const {
  for (const auto& [name, declared] : state_->config()->classes_) {
    if (declared.spend_per_hour_) {
      wire::ClassLimit* limit = report->add_limits();
      limit->set_class_name(name);
      limit->set_limit_per_hour(ToWhole(*declared.spend_per_hour_));
    }
  }
}

void ControlCalls::TakeCrashes(const wire::ReportRequest& request) {
  const ReplicaStatus status = status_();
  if (request.has_crashes() && status.leader_lease_) {
    crashes_.Take(request.crashes(), status.term_, SteadyNow());
  }
}

template <typename Reply>
void ControlCalls::AddSuspects(const ReplicaStatus& status, Reply* reply) {
  if (status.leader_lease_) {
    crashes_.AddTo(status.term_, SteadyNow(), reply->mutable_suspects());
  }
}

// Commits the backend servers that a gateway reports as leaving, so that the
// other gateways are notified immediately.
void ControlCalls::ProposeLeavingServers(const wire::ReportRequest& request) {
  wire::StateCommand command;
  state_->View([&](const StateMachine& state) {
    for (const wire::LeavingServer& reported : request.leaving()) {
      const auto known = state.servers().states().find(reported.server());
      const ServerState leaving{reported.incarnation(), true};
      if (known != state.servers().states().end() &&
          ServerStates::Combine(known->second, leaving) == known->second) {
        continue;
      }
      wire::ServerRecord* record = command.mutable_servers()->add_servers();
      record->set_server(reported.server());
      record->set_incarnation(reported.incarnation());
      record->set_leaving(true);
    }
  });
  if (command.has_servers()) {
    proposer_->Propose(std::move(command),
                       [](const std::optional<wire::StateResult>& /*result*/,
                          const Error& /*error*/) {});
  }
}

}  // namespace citronlane
