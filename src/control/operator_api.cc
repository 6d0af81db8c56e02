#include "citronlane/control/operator_api.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_join.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/routing/suspect_request.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/state/fleet_state.h"
#include "citronlane/transport/http_exchange.h"
#include "citronlane/transport/http_reply.h"
#include "citronlane/transport/http_request.h"

namespace citronlane {
namespace {

/// Operators try another VM after a second without a response, so a later one
/// is of little use to them.
constexpr Duration kAnswerTime = std::chrono::milliseconds(2500);
/// Maximum wait, from the start of a call, for all voters and for the gateways
/// to hold the change. A cluster that was just formed has all its voters within
/// half a second, but there may be fewer VMs. Connected gateways hold a change
/// sooner, unless changes arrive faster than they can read them; then the wait
/// slows the operators down.
constexpr Duration kPropagationTimeout = std::chrono::milliseconds(700);
constexpr auto kPropagationPollInterval = std::chrono::milliseconds(10);
/// Delay of an order, in which the end of its connection arrives if it was sent
/// long ago and delivered late; longer than a round trip between zones.
constexpr Duration kOrderDelay = std::chrono::milliseconds(10);

constexpr std::string_view kMetricsPath = "/metrics";
/// The product's own; platforms have no such call.
constexpr std::string_view kSuspectsPath = "/suspect-requests";

constexpr int kOk = 200;
constexpr int kTemporaryRedirect = 307;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

HttpReply ErrorReply(int status, std::string_view message) {
  JsonValue body = JsonValue::Object();
  body.AppendMember("error", JsonValue::String(message));
  HttpReply reply;
  reply.status_ = status;
  reply.body_ = WriteJson(body);
  if (status == kUnavailable) {
    reply.headers_.push_back({"Retry-After", "0.2"});
  }
  return reply;
}

HttpReply OkReply(std::string body) {
  HttpReply reply;
  reply.status_ = kOk;
  reply.body_ = std::move(body);
  return reply;
}

// State of one call's wait for the log. Outlives the call when the result
// arrives after its end.
struct Wait {
  explicit Wait(HttpExchange* exchange) : exchange_(exchange) {}

  void Finish(bool succeeded, std::string reason) {
    is_done_ = true;
    succeeded_ = succeeded;
    reason_ = std::move(reason);
    if (exchange_ != nullptr) {
      exchange_->Notify();
    }
  }

  /// Null once the call has stopped waiting.
  HttpExchange* exchange_;
  bool is_done_ = false;
  bool succeeded_ = false;
  std::string reason_;
};

ConfigProposer::Done MakeDone(const std::shared_ptr<Wait>& wait) {
  return [wait](bool is_committed, const std::string& reason) {
    wait->Finish(is_committed, reason);
  };
}

// Suspends the handler until the wait is done, `limit` has passed or the
// operator has closed the connection.
void WaitAtMost(boost::asio::io_context* io,
                const std::shared_ptr<Wait>& wait,
                Duration limit) {
  boost::asio::steady_timer timer(*io, limit);
  bool is_over = false;
  timer.async_wait([wait, &is_over](const boost::system::error_code& error) {
    if (!error && wait->exchange_ != nullptr) {
      is_over = true;
      wait->exchange_->Notify();
    }
  });
  HttpExchange* const exchange = wait->exchange_;
  while (!wait->is_done_ && !is_over && !exchange->caller_gone()) {
    exchange->Wait();
  }
  wait->exchange_ = nullptr;
}

}  // namespace

OperatorApi::OperatorApi(boost::asio::io_context* io,
                         const Dialect* dialect,
                         const FleetState* state,
                         EventLog* log,
                         Hooks hooks)
    : io_(io),
      dialect_(dialect),
      state_(state),
      log_(log),
      hooks_(std::move(hooks)) {}

void OperatorApi::Serve(const HttpRequest& request, HttpExchange* exchange) {
  if (request.method_ == "GET" && request.Path() == kMetricsPath) {
    HttpReply reply = OkReply(hooks_.metrics_());
    reply.content_type_ = Metrics::kContentType;
    exchange->Reply(reply);
    return;
  }
  if (request.Path() == kSuspectsPath) {
    exchange->Reply(hooks_.leads_() ? ServeSuspects(request.method_)
                                    : RedirectToLeader(request));
    return;
  }
  using Kind = OperatorCall::Kind;
  const OperatorCall call =
      dialect_->operator_call_(request.method_, request.Path());
  if (call.kind_ == Kind::kUnknown) {
    exchange->Reply(ErrorReply(kNotFound, "no such call"));
  } else if (!hooks_.leads_()) {
    exchange->Reply(RedirectToLeader(request));
  } else if (call.kind_ == Kind::kReplaceConfig) {
    exchange->Reply(Replace(request, exchange));
  } else if (call.kind_ == Kind::kReadConfig) {
    exchange->Reply(Read(exchange));
  } else {
    exchange->Reply(SetDrained(call.failure_domain_,
                               call.kind_ == Kind::kDrainDomain, exchange));
  }
}

HttpReply OperatorApi::ServeSuspects(std::string_view method) const {
  if (method == "DELETE") {
    hooks_.clear_suspects_();
    return OkReply("{}");
  }
  if (method != "GET") {
    return ErrorReply(kMethodNotAllowed, "only GET and DELETE are allowed");
  }
  const TimePoint now = SteadyNow();
  JsonValue requests = JsonValue::Array();
  for (const SuspectRequest& suspect : hooks_.suspects_()) {
    JsonValue entry = JsonValue::Object();
    entry.AppendMember("content", JsonValue::String(suspect.feature_.id_));
    entry.AppendMember(
        "kind",
        JsonValue::String(std::string(ToString(suspect.feature_.kind_))));
    entry.AppendMember("crashes", JsonValue::Number(suspect.crashes_));
    const Duration blocked = std::max(Duration(), suspect.blocked_until_ - now);
    entry.AppendMember(
        "blocked_ms",
        JsonValue::Number(static_cast<double>(InMilliseconds(blocked))));
    requests.Append(std::move(entry));
  }
  JsonValue body = JsonValue::Object();
  body.AppendMember("requests", std::move(requests));
  return OkReply(WriteJson(body));
}

HttpReply OperatorApi::RedirectToLeader(const HttpRequest& request) const {
  const std::string leader = hooks_.leader_();
  if (leader.empty()) {
    return ErrorReply(kUnavailable, "no control VM is known to lead");
  }
  HttpReply reply = ErrorReply(kTemporaryRedirect, "another control VM leads");
  reply.headers_.push_back({"Location", "http://" + leader + request.target_});
  return reply;
}

HttpReply OperatorApi::Replace(const HttpRequest& request,
                               HttpExchange* exchange) {
  std::vector<std::string> faults;
  const auto config = dialect_->read_config_(request.body_, &faults);
  if (!config) {
    const std::string text = absl::StrJoin(faults, "; ");
    log_->Write("control", "config refused", {{"faults", text.substr(0, 512)}});
    return ErrorReply(kBadRequest, text);
  }
  const uint64_t version = config->version();
  const TimePoint begun = SteadyNow();
  if (!state_->config().Holds(version)) {
    const auto wait = std::make_shared<Wait>(exchange);
    hooks_.submit_(version, std::string(request.body_), MakeDone(wait));
    WaitAtMost(io_, wait, kAnswerTime);
    if (!wait->succeeded_) {
      log_->Write("control", "config not acknowledged",
                  {{"version", version}, {"reason", wait->reason_}});
      return ErrorReply(kUnavailable, "not known to be committed");
    }
  }
  const Duration committed_after = SteadyNow() - begun;
  const TimePoint until = begun + kPropagationTimeout;
  if (!WaitFor(exchange, until, hooks_.has_all_voters_)) {
    log_->Write("control", "acknowledged by fewer voters than wanted",
                {{"version", version}});
  }
  const bool is_in_force = WaitFor(exchange, until, [this, version] {
    return hooks_.gateways_hold_(version);
  });
  log_->Write("control", "config acknowledged",
              {{"version", version},
               {"held_version", state_->config().version()},
               {"in_force", is_in_force ? "yes" : "no"},
               {"committed_ms", committed_after},
               {"took_ms", SteadyNow() - begun}});
  return OkReply("{}");
}

HttpReply OperatorApi::SetDrained(const std::string& domain,
                                  bool is_drained,
                                  HttpExchange* exchange) {
  if (!DrainedDomains::IsName(domain)) {
    return ErrorReply(kBadRequest, "this can't be a failure domain's name");
  }
  if (is_drained && !state_->drained().HasCapacityFor(domain)) {
    return ErrorReply(kBadRequest, "too many failure domains are drained");
  }
  WaitAtMost(io_, std::make_shared<Wait>(exchange), kOrderDelay);
  if (exchange->caller_gone()) {
    // Orders have no version: this one may be older than one that was
    // acknowledged since.
    log_->Write("control", "late drain order dropped", {{"domain", domain}});
    return ErrorReply(kUnavailable, "the connection was closed");
  }
  // Carried out all the same: its servers may be listed later.
  const bool is_known = hooks_.has_servers_(domain);
  unknown_domain_orders_ += is_known ? 0 : 1;
  const auto wait = std::make_shared<Wait>(exchange);
  hooks_.set_drained_(domain, is_drained, MakeDone(wait));
  WaitAtMost(io_, wait, kAnswerTime);
  log_->Write("control", "drain order",
              {{"domain", domain},
               {"drained", is_drained ? "yes" : "no"},
               {"has_servers", is_known ? "yes" : "no"},
               {"acknowledged", wait->succeeded_ ? "yes" : "no"},
               {"reason", wait->reason_}});
  if (!wait->succeeded_) {
    return ErrorReply(kUnavailable, "not known to be committed");
  }
  return OkReply("{}");
}

bool OperatorApi::WaitFor(HttpExchange* exchange,
                          TimePoint until,
                          const std::function<bool()>& condition) {
  while (!condition()) {
    if (SteadyNow() >= until || exchange->caller_gone()) {
      return false;
    }
    WaitAtMost(io_, std::make_shared<Wait>(exchange), kPropagationPollInterval);
  }
  return true;
}

HttpReply OperatorApi::Read(HttpExchange* exchange) {
  const auto wait = std::make_shared<Wait>(exchange);
  hooks_.read_([wait](bool confirmed) { wait->Finish(confirmed, ""); });
  WaitAtMost(io_, wait, kAnswerTime);
  if (!wait->succeeded_) {
    return ErrorReply(kUnavailable, "no quorum confirmed the newest version");
  }
  if (state_->config().is_empty()) {
    return ErrorReply(kUnavailable, "there is no configuration yet");
  }
  return OkReply(state_->config().document());
}

}  // namespace citronlane
