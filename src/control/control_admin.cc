#include "citronlane/control/detail/control_admin.h"

#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "citronlane/base/sha256.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/admin_replies.h"
#include "citronlane/control/detail/control_metrics.h"
#include "citronlane/observe/metrics.h"

namespace citronlane {
namespace {

constexpr Duration kReadConfirmTimeout = std::chrono::seconds(2);
constexpr Duration kLeaderWait = std::chrono::seconds(1);
constexpr Duration kLeaderPoll = std::chrono::milliseconds(20);
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kWildcard = "*";
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kMetricsPath = "/metrics";

// Returns whether the path matches the pattern; sets `argument` to the segment
// at '*'.
bool Matches(std::string_view pattern,
             std::string_view path,
             std::string* argument) {
  const size_t star = pattern.find(kWildcard);
  if (star == std::string_view::npos) {
    return pattern == path;
  }
  const std::string_view head = pattern.substr(0, star);
  const std::string_view tail = pattern.substr(star + kWildcard.size());
  if (path.size() <= head.size() + tail.size() ||
      path.substr(0, head.size()) != head ||
      path.substr(path.size() - tail.size()) != tail) {
    return false;
  }
  *argument = std::string(
      path.substr(head.size(), path.size() - head.size() - tail.size()));
  return argument->find('/') == std::string::npos;
}

}  // namespace

ControlAdmin::ControlAdmin(AdminContext context)
    : context_(std::move(context)), config_(context_), fleet_(context_) {
  AddRoutes();
}

AdminResponse ControlAdmin::Handle(const AdminRequest& request) const {
  if (request.path_ == kHealthPath && request.method_ == "GET") {
    return Health();
  }
  if (request.path_ == kMetricsPath && request.method_ == "GET") {
    return Metrics();
  }
  std::string argument;
  AdminStatus missing{};
  const Route* const route = FindRoute(request, &argument, &missing);
  return route == nullptr ? ProblemReply(missing, "")
                          : RunRoute(*route, request, argument);
}

std::optional<AdminResponse> ControlAdmin::RefuseHead(
    const AdminRequest& head) const {
  const bool is_open = head.path_ == kHealthPath || head.path_ == kMetricsPath;
  if (is_open || OperatorOf(head) != nullptr) {
    return std::nullopt;
  }
  std::string argument;
  AdminStatus missing{};
  const Route* const route = FindRoute(head, &argument, &missing);
  return ProblemReply(route == nullptr ? missing : AdminStatus::kUnauthorized,
                      "");
}

const ControlAdmin::Route* ControlAdmin::FindRoute(const AdminRequest& request,
                                                   std::string* argument,
                                                   AdminStatus* missing) const {
  *missing = AdminStatus::kNotFound;
  for (const Route& route : routes_) {
    if (!Matches(route.path_, request.path_, argument)) {
      continue;
    }
    if (route.method_ == request.method_) {
      return &route;
    }
    *missing = AdminStatus::kMethodNotAllowed;
  }
  return nullptr;
}

void ControlAdmin::AddRoutes() {
  using Request = AdminRequest;
  using Text = std::string;
  const auto add = [this](const char* method, const char* path, Target target,
                          Run run) {
    routes_.push_back({method, path, target, std::move(run)});
  };
  add("GET", "/v1/config", Target::kLeader,
      [this](const Request& request, const Text&, const Text&) {
        return config_.Get(request);
      });
  add("GET", "/v1/config/history", Target::kLeader,
      [this](const Request&, const Text&, const Text&) {
        return config_.History();
      });
  add("GET", "/v1/config/status", Target::kLeader,
      [this](const Request& request, const Text&, const Text&) {
        return config_.Status(request);
      });
  add("POST", "/v1/config/changes", Target::kLeader,
      [this](const Request& request, const Text&, const Text& operator_name) {
        return config_.Change(request, operator_name);
      });
  add("POST", "/v1/config/rollback", Target::kLeader,
      [this](const Request& request, const Text&, const Text& operator_name) {
        return config_.Rollback(request, operator_name);
      });
  add("GET", "/v1/refusals/*", Target::kLeader,
      [this](const Request&, const Text& id, const Text&) {
        return fleet_.Refusal(id);
      });
  add("GET", "/v1/members", Target::kLeader,
      [this](const Request&, const Text&, const Text&) {
        return fleet_.Members();
      });
  add("POST", "/v1/members", Target::kLeader,
      [this](const Request& request, const Text&, const Text&) {
        return fleet_.ChangeMembers(request);
      });
  add("GET", "/v1/servers", Target::kLeader,
      [this](const Request&, const Text&, const Text&) {
        return fleet_.Servers();
      });
  add("POST", "/v1/servers/*/drain", Target::kLeader,
      [this](const Request&, const Text& server, const Text&) {
        return fleet_.Drain(server);
      });
  add("GET", "/v1/orders", Target::kLeader,
      [this](const Request&, const Text&, const Text&) {
        return fleet_.Orders();
      });
  add("POST", "/v1/servers/*/orders", Target::kLeader,
      [this](const Request& request, const Text& server,
             const Text& operator_name) {
        return fleet_.SubmitOrder(server, request, operator_name);
      });
  add("GET", "/v1/status", Target::kAnyNode,
      [this](const Request&, const Text&, const Text&) {
        return fleet_.Status();
      });
}

AdminResponse ControlAdmin::RunRoute(const Route& route,
                                     const AdminRequest& request,
                                     const std::string& argument) const {
  const OperatorKey* operator_key = OperatorOf(request);
  if (operator_key == nullptr) {
    return ProblemReply(AdminStatus::kUnauthorized, "");
  }
  if (route.method_ != "GET" && operator_key->role_ != OperatorRole::kChange) {
    return ProblemReply(AdminStatus::kForbidden, "");
  }
  if (context_.state_->is_broken()) {
    return UnavailableReply("The state of this VM is damaged.");
  }
  if (route.target_ == Target::kAnyNode) {
    return route.run_(request, argument, operator_key->operator_);
  }
  // Waits for the end of an election, which takes less than kLeaderWait.
  const TimePoint until = SteadyNow() + kLeaderWait;
  while (!ConfirmLeadership()) {
    AdminResponse redirect = RedirectToLeader(request);
    const bool found = !redirect.location_.empty();
    if (found || SteadyNow() >= until) {
      return redirect;
    }
    std::this_thread::sleep_for(kLeaderPoll);
  }
  return route.run_(request, argument, operator_key->operator_);
}

const OperatorKey* ControlAdmin::OperatorOf(const AdminRequest& request) const {
  const std::string_view header = request.authorization_;
  if (header.substr(0, kBearer.size()) != kBearer) {
    return nullptr;
  }
  // Digests are compared, so that the time taken does not depend on the key.
  const std::string digest = Sha256Hex(header.substr(kBearer.size()));
  for (const OperatorKey& key : context_.options_->operators_) {
    if (key.digest_ == digest) {
      return &key;
    }
  }
  return nullptr;
}

AdminResponse ControlAdmin::RedirectToLeader(
    const AdminRequest& request) const {
  const ReplicaStatus status = context_.status_();
  std::string address;
  context_.state_->View([&](const StateMachine& state) {
    const auto peer = state.peers().find(status.leader_);
    if (peer != state.peers().end()) {
      address = peer->second.admin();
    }
  });
  const auto configured = context_.options_->peers_.find(status.leader_);
  if (address.empty() && configured != context_.options_->peers_.end()) {
    address = configured->second.admin_;
  }
  if (address.empty() || status.leader_ == status.id_) {
    return UnavailableReply("No leader is known.");
  }
  const bool tls = !context_.options_->admin_tls_.certificate_.empty();
  JsonValue members = JsonValue::Object();
  members.Set("leader", JsonValue::String(address));
  AdminResponse response = ProblemReply(AdminStatus::kRedirect,
                                        "Another control VM leads.", members);
  response.location_ = (tls ? "https://" : "http://") + address +
                       request.path_ +
                       (request.query_.empty() ? "" : "?" + request.query_);
  return response;
}

// Returns whether this node leads, confirmed by a quorum.
bool ControlAdmin::ConfirmLeadership() const {
  if (!context_.proposer_->leads()) {
    return false;
  }
  const auto promise = std::make_shared<std::promise<bool>>();
  std::future<bool> future = promise->get_future();
  context_.read_([promise](bool confirmed) { promise->set_value(confirmed); });
  return future.wait_for(kReadConfirmTimeout) == std::future_status::ready &&
         future.get();
}

AdminResponse ControlAdmin::Health() const {
  const ReplicaStatus status = context_.status_();
  if (status.failed_ || context_.state_->is_broken()) {
    return UnavailableReply(status.failed_ ? status.failure_
                                           : "The state is damaged.");
  }
  AdminResponse response;
  response.content_type_ = "text/plain";
  response.body_ = "ok\n";
  return response;
}

AdminResponse ControlAdmin::Metrics() const {
  AdminResponse response;
  response.content_type_ = ::citronlane::Metrics::kContentType;
  response.body_ = context_.metrics_text_() +
                   ControlMetricsText(context_.status_(), *context_.state_);
  return response;
}

}  // namespace citronlane
