// What the listeners and the modules of a gateway call.

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/net/connect_probe.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/relay/detail/gateway_host_impl.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/relay/server_probe.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::WatchUpdate;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

HttpListenerHooks GatewayHost::Impl::CallerHooks() {
  HttpListenerHooks hooks;
  hooks.misused_ = [this](const HttpRequest& request, std::string_view what) {
    log_->Write(
        "relay", "response not sent",
        {{"request", dialect_->read_request_(request.headers_).request_id_},
         {"why", what}});
  };
  hooks.unanswered_ = [this](const HttpRequest& request,
                             std::string_view reason) {
    metrics_.Count(kUnansweredTotal, {reason});
    log_->Write(
        "relay", "closed without whole response",
        {{"request", dialect_->read_request_(request.headers_).request_id_},
         {"why", reason}});
  };
  hooks.serve_ = [this](size_t, const HttpRequest& request,
                        HttpExchange* exchange) {
    relay_.Serve(request, exchange);
  };
  SetRefusalHooks("callers", &hooks);
  hooks.may_read_ = [this](const std::function<bool()>& close_stalled) {
    const bool may_read = relay_.MayTakeFirst(callers_.open_requests() +
                                              forwarded_.open_requests()) ||
                          close_stalled();
    if (!may_read) {
      NoteUnread("callers", RefusalReason::kConcurrencyLimit);
    }
    return may_read;
  };
  return hooks;
}

void GatewayHost::Impl::SetRefusalHooks(const std::string& listener,
                                        HttpListenerHooks* hooks) {
  hooks->refuse_ = [this, listener](RefusalReason reason) {
    NoteUnread(listener, reason);
    return RefusalReply(reason, Verdict::kNotRun);
  };
  hooks->place_lost_ = [this, listener](std::string_view phase,
                                        Duration stall) {
    listener_events_.OnPlaceLost(listener, phase, stall);
  };
}

void GatewayHost::Impl::NoteUnread(std::string_view listener,
                                   RefusalReason reason) {
  metrics_.Count(kRefusalsTotal, {ToString(reason), "", ""});
  log_->Write("relay", "request not read",
              {{"listener", listener},
               {"reason", ToString(reason)},
               {"in_hand", static_cast<uint64_t>(relay_.requests_in_flight())},
               {"connections", static_cast<uint64_t>(callers_.connections())}});
}

HttpListenerHooks GatewayHost::Impl::ForwardedHooks() {
  HttpListenerHooks hooks = CallerHooks();
  // MayServe() refuses these; the other gateways know such a refusal.
  hooks.may_read_ = nullptr;
  SetRefusalHooks("forwarded", &hooks);
  hooks.serve_ = [this](size_t, const HttpRequest& request,
                        HttpExchange* exchange) {
    relay_.ServeForwarded(request, exchange);
  };
  return hooks;
}

HttpListenerHooks GatewayHost::Impl::ReadyHooks() {
  HttpListenerHooks hooks;
  hooks.serve_ = [this](size_t, const HttpRequest& request,
                        HttpExchange* exchange) {
    HttpReply reply;
    const bool is_ours = request.Path() == dialect_->ready_path_;
    reply.status_ = !is_ours ? kNotFound : IsReady() ? kOk : kUnavailable;
    exchange->Reply(reply);
  };
  SetRefusalHooks("ready", &hooks);
  return hooks;
}

HttpListenerHooks GatewayHost::Impl::MetricsHooks() {
  HttpListenerHooks hooks;
  hooks.serve_ = [this](size_t, const HttpRequest&, HttpExchange* exchange) {
    metrics_.Set(kRequestsInFlight, {},
                 static_cast<double>(relay_.requests_in_flight()));
    for (const auto& [partition, pool] : pools_) {
      metrics_.Set(kPoolTasks, {partition.Name()},
                   static_cast<double>(pool->tasks()));
    }
    SetSpeedMetrics(SteadyNow());
    metrics_.Set(kServersLimited, {},
                 static_cast<double>(server_limits_.CountLimited()));
    metrics_.Set(kServersBrittle, {},
                 static_cast<double>(server_limits_.brittle()->CountBrittle()));
    metrics_.Set(kServersCold, {},
                 static_cast<double>(server_limits_.CountCold(SteadyNow())));
    metrics_.Set(
        kServersInBackoff, {},
        static_cast<double>(limits_.backoffs()->InBackoff(SteadyNow()).size()));
    metrics_.Set(kRequestsBlocked, {},
                 static_cast<double>(crashes_.CountBlocked()));
    metrics_.Set(kReady, {}, IsReady() ? 1 : 0);
    const GatewayLoad& load = load_meter_.load();
    metrics_.Set(kLoopLagSeconds, {},
                 std::chrono::duration<double>(load.loop_lag_).count());
    metrics_.Set(kProcessorUse, {}, load.processor_use_);
    metrics_.Set(kLinkUse, {}, load.link_use_);
    metrics_.Set(kPartitionsOwned, {}, static_cast<double>(CountOwned()));
    const auto& config = view_.config();
    metrics_.Set(kConfigVersion, {},
                 config ? static_cast<double>(config->version()) : 0);
    HttpReply reply;
    reply.content_type_ = Metrics::kContentType;
    reply.body_ = metrics_.Text();
    exchange->Reply(reply);
  };
  SetRefusalHooks("metrics", &hooks);
  return hooks;
}

ControlWatch::Hooks GatewayHost::Impl::WatchHooks() {
  ControlWatch::Hooks hooks;
  hooks.updated_ = [this](WatchUpdate* update) { TakeUpdate(update); };
  hooks.config_version_ = [this] { return received_config_.version(); };
  hooks.add_owners_ = [this](wire::fleet::WatchRequest* request) {
    EncodeOwners(view_.owners_number(), view_.owners(),
                 request->mutable_owners());
  };
  hooks.leader_found_ = [this] {
    crashes_.ReportAll();
    limits_.ReportAll();
    origins_.ReportAll();
  };
  hooks.origin_answer_ = [this](const wire::fleet::StreamOriginAnswer& answer) {
    origins_.Take(answer);
  };
  hooks.knows_gateways_ = [this] { return !view_.gateways().empty(); };
  return hooks;
}

CrashWatch::Hooks GatewayHost::Impl::CrashHooks() {
  CrashWatch::Hooks hooks;
  hooks.send_ = [this](const wire::fleet::CrashReports& reports) {
    wire::fleet::Frame frame;
    *frame.mutable_crash_reports() = reports;
    watch_.Send(frame);
  };
  hooks.has_leader_ = [this] { return watch_.is_connected(); };
  hooks.probe_ = [this](const std::string& address,
                        std::function<void(bool)> done) {
    ProbeListener(&io_, address, std::move(done));
  };
  hooks.now_ = SteadyNow;
  hooks.gateway_ = settings_.internal_listen_;
  return hooks;
}

LimitWatch::Hooks GatewayHost::Impl::LimitHooks() {
  LimitWatch::Hooks hooks;
  hooks.send_ = [this](const wire::fleet::ServerLimits& limits) {
    wire::fleet::Frame frame;
    *frame.mutable_server_limits() = limits;
    watch_.Send(frame);
  };
  hooks.now_ = SteadyNow;
  // Deferred, since the caller uses the present servers.
  hooks.leaving_ = [this](const std::string& server) {
    boost::asio::post(io_, [this, server] { NoteLeaving(server); });
  };
  return hooks;
}

OriginWatch::Hooks GatewayHost::Impl::OriginHooks() {
  OriginWatch::Hooks hooks;
  hooks.send_ = [this](const wire::fleet::Frame& frame) {
    watch_.SendToAny(frame);
  };
  hooks.now_ = SteadyNow;
  return hooks;
}

ReachWatch::Hooks GatewayHost::Impl::ReachHooks() {
  ReachWatch::Hooks hooks;
  hooks.addresses_ = [this] {
    std::vector<std::string> addresses;
    for (const BackendServer& server : view_.servers()) {
      if (!server.leaving_ &&
          limits_.backoffs()->MayCall(server.id_, SteadyNow())) {
        addresses.push_back(server.address_);
      }
    }
    return addresses;
  };
  hooks.probe_ = [this](const std::string& address,
                        std::function<void(ServerReach::ProbeResult)> done) {
    ProbeServer(&client_, address, dialect_->report_path_, std::move(done));
  };
  hooks.changed_ = [this] { watch_.SetCutOff(reach_.is_cut_off()); };
  hooks.now_ = SteadyNow;
  return hooks;
}

}  // namespace citronlane
