// What the operators' API and the proposer of configurations call.

#include <string>
#include <string_view>
#include <utility>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/control_host_impl.h"
#include "citronlane/control/detail/control_metrics.h"
#include "citronlane/control/detail/feed_counts.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_listener_hooks.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {

std::string ControlHost::Impl::OperatorAddressOfLeader() const {
  const std::string leader = member_.leader();
  if (leader.empty() || leader == settings_.internal_listen_) {
    return {};
  }
  // All nodes use the same ports.
  const std::string& own = settings_.operator_listen_;
  return leader.substr(0, leader.rfind(':')) + own.substr(own.rfind(':'));
}

OperatorApi::Hooks ControlHost::Impl::ApiHooks() {
  OperatorApi::Hooks hooks;
  hooks.set_drained_ = [this](const std::string& domain, bool is_drained,
                              ConfigProposer::Done done) {
    if (!member_.all_apply_new_commands()) {
      done(false, "a control VM may be of an older version");
      return;
    }
    Propose(DrainedDomains::Command(domain, is_drained), std::move(done));
  };
  hooks.has_servers_ = [this](const std::string& domain) {
    return feed_.HasServers(domain);
  };
  hooks.leads_ = [this] { return member_.Leads(SteadyNow()); };
  hooks.leader_ = [this] { return OperatorAddressOfLeader(); };
  hooks.submit_ = [this](uint64_t version, std::string document,
                         ConfigProposer::Done done) {
    proposer_.Submit(version, std::move(document), std::move(done));
  };
  hooks.read_ = [this](Replica::ReadDone done) {
    member_.Read(std::move(done));
  };
  hooks.has_all_voters_ = [this] { return member_.has_all_voters(); };
  hooks.gateways_hold_ = [this](uint64_t version) {
    return feed_.IsHeldByAll(version, SteadyNow());
  };
  hooks.suspects_ = [this] { return feed_.Suspects(); };
  hooks.clear_suspects_ = [this] { feed_.ClearSuspects(SteadyNow()); };
  hooks.metrics_ = [this] {
    const TimePoint now = SteadyNow();
    return metrics_.Text() +
           FeedMetricsText(member_.Leads(now), feed_.Propagation(),
                           FeedCounts{feed_.CountBlocked(now),
                                      list_reader_.invalid_cold_times(),
                                      api_.unknown_domain_orders()});
  };
  return hooks;
}

HttpListenerHooks ControlHost::Impl::OperatorHooks() {
  HttpListenerHooks hooks;
  hooks.serve_ = [this](size_t, const HttpRequest& request,
                        HttpExchange* exchange) {
    api_.Serve(request, exchange);
  };
  hooks.refuse_ = [this](RefusalReason reason) {
    metrics_.Count(kConnectionsClosedTotal, {ToString(reason)});
    log_->Write("control", "request not read",
                {{"listener", "operators"}, {"reason", ToString(reason)}});
    HttpReply reply;
    reply.status_ = HttpStatus(reason);
    reply.body_ = "{\"error\":\"the request can't be read\"}";
    return reply;
  };
  hooks.misused_ = [this](const HttpRequest& request, std::string_view what) {
    log_->Write("control", "response not sent",
                {{"target", request.target_}, {"why", what}});
  };
  hooks.place_lost_ = [this](std::string_view phase, Duration stall) {
    listener_events_.OnPlaceLost("operators", phase, stall);
  };
  return hooks;
}

ConfigProposer::Hooks ControlHost::Impl::ProposerHooks() {
  ConfigProposer::Hooks hooks;
  hooks.propose_ = [this](std::string command, ConfigProposer::Done done) {
    Propose(std::move(command), std::move(done));
  };
  hooks.all_apply_differences_ = [this] {
    return member_.all_apply_new_commands();
  };
  return hooks;
}

}  // namespace citronlane
