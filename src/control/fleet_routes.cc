#include "citronlane/control/detail/fleet_routes.h"

#include <algorithm>
#include <array>
#include <future>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/control/detail/admin_replies.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

using Need = ObjectReader::Need;

constexpr Duration kCommitTimeout = std::chrono::seconds(3);
constexpr uint64_t kMaxNodeId = 1'000'000;
constexpr uint64_t kMaxOrders = 10'000;
constexpr std::array<std::string_view, 3> kActions = {"add", "promote",
                                                      "remove"};
constexpr std::array<std::string_view, 3> kKinds = {
    "load_model", "load_adapter", "change_role"};
constexpr std::array<std::string_view, 4> kPhases = {"pending", "started",
                                                     "done", "failed"};
constexpr std::array<std::string_view, 5> kRoles = {
    "follower", "pre_candidate", "candidate", "leader", "learner"};

// Returns text of a caller with '?' for all but printable ASCII characters, so
// that it is valid JSON.
JsonValue CallerText(const std::string& text) {
  std::string shown = text;
  std::replace_if(
      shown.begin(), shown.end(), [](char c) { return c < ' ' || c > '~'; },
      '?');
  return JsonValue::String(shown);
}

JsonValue ToJson(const wire::RefusalRecord& record) {
  const auto reason = static_cast<RefusalReason>(record.reason());
  JsonValue body = JsonValue::Object();
  body.Set("id", JsonValue::String(record.id()));
  body.Set("reason", JsonNumber(record.reason()));
  body.Set("name", JsonValue::String(ToString(reason)));
  body.Set("verdict", JsonValue::String(record.verdict()));
  body.Set("account", CallerText(record.account()));
  body.Set("class", CallerText(record.class_name()));
  body.Set("target", CallerText(record.pipeline()));
  body.Set("gateway", JsonValue::String(record.gateway()));
  body.Set("config_version", JsonNumber(record.config_version()));
  body.Set("time_ms", JsonNumber(record.time_ms()));
  Fault fault;
  const std::optional<JsonValue> figures = ParseJson(record.figures(), &fault);
  body.Set("figures", figures.value_or(JsonValue::Object()));
  return body;
}

JsonValue ToJson(const wire::EngineOrder& order) {
  JsonValue item = JsonValue::Object();
  item.Set("order_id", JsonValue::String(order.order_id()));
  item.Set("server", JsonValue::String(order.server()));
  item.Set("kind", JsonValue::String(kKinds.at(order.kind())));
  item.Set("operator", JsonValue::String(order.operator_name()));
  item.Set("phase", JsonValue::String(kPhases.at(order.phase())));
  item.Set("fencing", JsonNumber(order.fencing_number()));
  item.Set("attempts", JsonNumber(order.attempts()));
  if (!order.error().empty()) {
    item.Set("error", JsonValue::String(order.error()));
  }
  return item;
}

JsonValue MemberJson(uint64_t id,
                     const char* role,
                     const std::string& replication,
                     const StateMachine& state) {
  JsonValue item = JsonValue::Object();
  item.Set("id", JsonNumber(id));
  item.Set("role", JsonValue::String(role));
  item.Set("replication", JsonValue::String(replication));
  const auto peer = state.peers().find(id);
  if (peer != state.peers().end()) {
    item.Set("control", JsonValue::String(peer->second.control()));
    item.Set("admin", JsonValue::String(peer->second.admin()));
  }
  return item;
}

AdminResponse CommittedReply() {
  JsonValue body = JsonValue::Object();
  body.Set("outcome", JsonValue::String("committed"));
  return JsonReply(body);
}

// Returns whether the server's engine refuses old fencing numbers; nullopt when
// no pool of engines has the server.
std::optional<bool> ChecksFencing(const ClusterConfig& config,
                                  const std::string& server) {
  for (const auto& [name, pool] : config.pools_) {
    if (pool.kind_ == StageKind::kEngine && pool.servers_.count(server) > 0) {
      return pool.checks_fencing_;
    }
  }
  return std::nullopt;
}

bool IsDeclared(const ClusterConfig& config, const std::string& server) {
  for (const auto& [name, pool] : config.pools_) {
    if (pool.servers_.count(server) > 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

AdminResponse FleetRoutes::Refusal(const std::string& id) const {
  std::optional<wire::RefusalRecord> record;
  context_.state_->View([&](const StateMachine& state) {
    const wire::RefusalRecord* found = state.refusals().Find(id);
    if (found != nullptr) {
      record = *found;
    }
  });
  if (!record) {
    return ProblemReply(AdminStatus::kNotFound,
                        "The journal does not hold this refusal.");
  }
  return JsonReply(ToJson(*record));
}

AdminResponse FleetRoutes::Members() const {
  const ReplicaStatus status = context_.status_();
  JsonValue members = JsonValue::Array();
  context_.state_->View([&](const StateMachine& state) {
    for (const auto& [id, address] : status.membership_.voters_) {
      members.Append(MemberJson(id, "voter", address, state));
    }
    for (const auto& [id, address] : status.membership_.learners_) {
      members.Append(MemberJson(id, "learner", address, state));
    }
  });
  JsonValue body = JsonValue::Object();
  body.Set("leader", JsonNumber(status.leader_));
  body.Set("term", JsonNumber(status.term_));
  body.Set("members", std::move(members));
  return JsonReply(body);
}

AdminResponse FleetRoutes::ChangeMembers(const AdminRequest& request) const {
  Fault fault;
  const std::optional<JsonValue> body = ParseJson(request.body_, &fault);
  if (!body) {
    return BadBody({fault});
  }
  std::vector<Fault> faults;
  ObjectReader reader(*body, "", &faults);
  std::string action;
  uint64_t id = 0;
  wire::PeerRecord peer;
  reader.Choice("action", Need::kRequired, kActions, &action);
  reader.Whole("id", Need::kRequired, 1, kMaxNodeId, &id);
  if (action == "add") {
    reader.Endpoint("replication", Need::kRequired, peer.mutable_replication());
    reader.Endpoint("control", Need::kRequired, peer.mutable_control());
    reader.Endpoint("admin", Need::kRequired, peer.mutable_admin());
  }
  reader.Finish();
  if (!faults.empty()) {
    return BadBody(faults);
  }
  if (action == "add") {
    return AddMember(id, peer);
  }
  return WaitMembership([this, id, &action](Replica::ProposeDone done) {
    const auto& change =
        action == "promote" ? context_.promote_ : context_.remove_;
    change(id, std::move(done));
  });
}

AdminResponse FleetRoutes::Servers() const {
  JsonValue servers = JsonValue::Array();
  context_.state_->View([&](const StateMachine& state) {
    for (const auto& [id, known] : state.servers().states()) {
      JsonValue item = JsonValue::Object();
      item.Set("id", JsonValue::String(id));
      item.Set("incarnation", JsonNumber(known.incarnation_));
      item.Set("leaving", JsonValue::Bool(known.leaving_));
      servers.Append(std::move(item));
    }
  });
  JsonValue body = JsonValue::Object();
  body.Set("servers", std::move(servers));
  return JsonReply(body);
}

AdminResponse FleetRoutes::Drain(const std::string& server) const {
  if (!IsDeclared(*context_.state_->config(), server)) {
    return ProblemReply(AdminStatus::kNotFound,
                        "The configuration has no such backend server.");
  }
  // A record without an incarnation refers to the current one.
  wire::StateCommand command;
  wire::ServerRecord* record = command.mutable_servers()->add_servers();
  record->set_server(server);
  record->set_leaving(true);
  return Propose(std::move(command), "");
}

AdminResponse FleetRoutes::Orders() const {
  JsonValue orders = JsonValue::Array();
  context_.state_->View([&](const StateMachine& state) {
    for (const wire::EngineOrder& order : state.orders().orders()) {
      orders.Append(ToJson(order));
    }
  });
  JsonValue body = JsonValue::Object();
  body.Set("orders", std::move(orders));
  return JsonReply(body);
}

AdminResponse FleetRoutes::SubmitOrder(const std::string& server,
                                       const AdminRequest& request,
                                       const std::string& operator_name) const {
  const std::optional<bool> checks =
      ChecksFencing(*context_.state_->config(), server);
  if (!checks) {
    return ProblemReply(AdminStatus::kNotFound,
                        "The configuration has no such engine.");
  }
  Fault fault;
  const std::optional<JsonValue> body = ParseJson(request.body_, &fault);
  if (!body) {
    return BadBody({fault});
  }
  std::vector<Fault> faults;
  ObjectReader reader(*body, "", &faults);
  wire::StateCommand command;
  command.mutable_submit_order()->set_max_orders(kMaxOrders);
  wire::EngineOrder* order = command.mutable_submit_order()->mutable_order();
  std::string kind;
  reader.Name("order_id", Need::kRequired, order->mutable_order_id());
  reader.Choice("kind", Need::kRequired, kKinds, &kind);
  const auto need = [&kind](std::string_view of) {
    return kind == of ? Need::kRequired : Need::kOptional;
  };
  reader.String("model", need(kKinds[0]), order->mutable_model());
  reader.String("version", Need::kOptional, order->mutable_version());
  reader.String("adapter", need(kKinds[1]), order->mutable_adapter());
  reader.String("role", need(kKinds[2]), order->mutable_role());
  reader.Finish();
  if (!faults.empty()) {
    return BadBody(faults);
  }
  const auto index = std::find(kKinds.begin(), kKinds.end(), kind);
  order->set_kind(static_cast<wire::EngineOrder::Kind>(index - kKinds.begin()));
  order->set_server(server);
  order->set_operator_name(operator_name);
  order->set_checks_fencing(*checks);
  return Propose(std::move(command), "Too many orders are not over.");
}

AdminResponse FleetRoutes::Status() const {
  const ReplicaStatus status = context_.status_();
  JsonValue body = JsonValue::Object();
  body.Set("node", JsonNumber(status.id_));
  body.Set("role",
           JsonValue::String(kRoles.at(static_cast<size_t>(status.role_))));
  body.Set("term", JsonNumber(status.term_));
  body.Set("leader", JsonNumber(status.leader_));
  body.Set("leader_lease", JsonValue::Bool(status.leader_lease_));
  body.Set("failed", JsonValue::Bool(status.failed_));
  if (status.failed_) {
    body.Set("failure", JsonValue::String(status.failure_));
  }
  body.Set("commit_index", JsonNumber(status.commit_index_));
  body.Set("last_index", JsonNumber(status.last_index_));
  body.Set("voters", JsonNumber(status.membership_.voters_.size()));
  body.Set("learners", JsonNumber(status.membership_.learners_.size()));
  body.Set("fencing", JsonNumber(context_.fencing_number_()));
  body.Set("watchers", JsonNumber(context_.state_->feed().watchers()));
  const auto config = context_.state_->config();
  context_.state_->View([&](const StateMachine& state) {
    body.Set("applied_index", JsonNumber(state.applied_index()));
    body.Set("history_hash",
             JsonValue::String(std::to_string(state.history_hash())));
    body.Set("config_version", JsonNumber(state.config().version()));
    body.Set("config_digest", JsonValue::String(state.config().digest()));
    body.Set("gateways", JsonNumber(state.gateways().gateways().size()));
    body.Set("claims", JsonNumber(state.claims().size()));
    body.Set("answer_bytes", JsonNumber(state.claims().answer_bytes()));
    body.Set("refusals", JsonNumber(state.refusals().size()));
    body.Set("refusals_dropped_by_gateways",
             JsonNumber(state.refusals().dropped_by_gateways()));
    body.Set("refusals_dropped_here",
             JsonNumber(state.refusals().dropped_here()));
    JsonValue spend = JsonValue::Array();
    for (const auto& [name, declared] : config->classes_) {
      JsonValue item = JsonValue::Object();
      item.Set("class", JsonValue::String(name));
      item.Set("spent_this_hour", JsonNumber(state.spend().Spent(name)));
      if (declared.spend_per_hour_) {
        item.Set("limit_per_hour",
                 JsonValue::Number(*declared.spend_per_hour_));
      }
      spend.Append(std::move(item));
    }
    body.Set("spend", std::move(spend));
  });
  return JsonReply(body);
}

AdminResponse FleetRoutes::AddMember(uint64_t id,
                                     const wire::PeerRecord& peer) const {
  wire::StateCommand command;
  *command.mutable_register_peer()->mutable_peer() = peer;
  command.mutable_register_peer()->mutable_peer()->set_node(id);
  AdminResponse registered = Propose(std::move(command), "");
  if (registered.status_ != static_cast<int>(AdminStatus::kOk)) {
    return registered;
  }
  return WaitMembership([this, id, &peer](Replica::ProposeDone done) {
    context_.add_learner_(id, peer.replication(), std::move(done));
  });
}

AdminResponse FleetRoutes::WaitMembership(
    const std::function<void(Replica::ProposeDone)>& change) const {
  // The promise gets the reason of a failure, or "" once committed.
  const auto promise = std::make_shared<std::promise<std::string>>();
  std::future<std::string> future = promise->get_future();
  change(
      [promise](const std::optional<std::string>& result, const Error& error) {
        promise->set_value(result ? std::string() : error.message_);
      });
  if (future.wait_for(kCommitTimeout) != std::future_status::ready) {
    return UnavailableReply("The change is not known to be committed.");
  }
  const std::string reason = future.get();
  return reason.empty() ? CommittedReply()
                        : ProblemReply(AdminStatus::kConflict, reason);
}

AdminResponse FleetRoutes::Propose(wire::StateCommand command,
                                   std::string_view refused) const {
  Error error;
  const std::optional<wire::StateResult> result =
      context_.proposer_->ProposeAndWait(std::move(command), kCommitTimeout,
                                         &error);
  if (!result) {
    return UnavailableReply("The call is not known to be committed. " +
                            error.message_);
  }
  return result->done() || refused.empty()
             ? CommittedReply()
             : ProblemReply(AdminStatus::kTooMany, refused);
}

}  // namespace citronlane
