#include "citronlane/control/detail/config_routes.h"

#include <algorithm>
#include <utility>

#include "citronlane/base/sha256.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/control/detail/admin_replies.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"
#include "citronlane/state/canonical_json.h"

namespace citronlane {
namespace {

using Need = ObjectReader::Need;

constexpr Duration kCommitTimeout = std::chrono::seconds(3);
/// Integers up to here are exact as JSON numbers.
constexpr uint64_t kMaxVersion = uint64_t{1} << 53;
constexpr size_t kMaxReasonBytes = 4096;

JsonValue ParseOrNull(std::string_view text) {
  Fault fault;
  std::optional<JsonValue> value = ParseJson(text, &fault);
  return value ? *std::move(value) : JsonValue();
}

uint64_t ToMs(Duration time) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time);
  return static_cast<uint64_t>(std::max<int64_t>(0, ms.count()));
}

void ReadCommon(ObjectReader* reader, wire::ConfigChange* change) {
  std::string text;
  if (reader->Name("change_id", Need::kRequired, &text)) {
    change->set_change_id(text);
  }
  uint64_t base = 0;
  if (reader->Whole("base_version", Need::kRequired, 0, kMaxVersion, &base)) {
    change->set_base_version(base);
  }
  if (reader->String("reason", Need::kRequired, &text)) {
    if (text.size() > kMaxReasonBytes) {
      reader->AddFault("reason", "must be at most 4096 bytes");
    }
    change->set_reason(text);
  }
}

// Moves the patch or the document from the body to `change`, so that it is not
// validated as a field of the request. Returns false unless the body has
// exactly one of them, as an object.
bool TakeContent(JsonValue* body, wire::ConfigChange* change) {
  const JsonValue* patch = body->Find("patch");
  const JsonValue* document = body->Find("document");
  if ((patch == nullptr) == (document == nullptr)) {
    return false;
  }
  const JsonValue* content = patch != nullptr ? patch : document;
  if (!content->IsObject()) {
    return false;
  }
  const std::string text = WriteJson(*content);
  if (patch != nullptr) {
    change->set_patch(text);
  } else {
    change->set_document(text);
  }
  change->set_digest(Sha256Hex((patch != nullptr ? "patch:" : "document:") +
                               CanonicalJson(*content)));
  body->Remove("patch");
  body->Remove("document");
  return true;
}

JsonValue ToJson(const wire::ConfigRecord& record) {
  JsonValue item = JsonValue::Object();
  item.Set("version", JsonNumber(record.version()));
  item.Set("change_id", JsonValue::String(record.change_id()));
  item.Set("operator", JsonValue::String(record.operator_name()));
  item.Set("reason", JsonValue::String(record.reason()));
  item.Set("time_ms", JsonNumber(record.unix_ms()));
  item.Set("digest", JsonValue::String(record.digest()));
  item.Set("patch", ParseOrNull(record.forward_patch()));
  if (record.rollback_to() != 0) {
    item.Set("rollback_to", JsonNumber(record.rollback_to()));
  }
  return item;
}

}  // namespace

AdminResponse ConfigRoutes::Get(const AdminRequest& request) const {
  std::optional<std::string> document;
  uint64_t version = 0;
  std::string digest;
  context_.state_->View([&](const StateMachine& state) {
    const ConfigurationHistory& config = state.config();
    version = QueryNumber(request.query_, "version").value_or(config.version());
    document = config.DocumentAt(version);
    const wire::ConfigRecord* record = config.Find(version);
    digest = record != nullptr ? record->digest() : std::string();
  });
  if (!document) {
    return ProblemReply(AdminStatus::kNotFound,
                        "The history does not hold this version.");
  }
  JsonValue body = JsonValue::Object();
  body.Set("version", JsonNumber(version));
  body.Set("digest", JsonValue::String(digest));
  body.Set("document",
           document->empty() ? JsonValue::Object() : ParseOrNull(*document));
  return JsonReply(body);
}

AdminResponse ConfigRoutes::History() const {
  std::vector<wire::ConfigRecord> records;
  context_.state_->View([&](const StateMachine& state) {
    records.assign(state.config().history().rbegin(),
                   state.config().history().rend());
  });
  JsonValue versions = JsonValue::Array();
  for (const wire::ConfigRecord& record : records) {
    versions.Append(ToJson(record));
  }
  JsonValue body = JsonValue::Object();
  body.Set("versions", std::move(versions));
  return JsonReply(body);
}

AdminResponse ConfigRoutes::Status(const AdminRequest& request) const {
  uint64_t present = 0;
  std::string digest;
  context_.state_->View([&](const StateMachine& state) {
    present = state.config().version();
    const wire::ConfigRecord* record = state.config().Find(
        QueryNumber(request.query_, "version").value_or(present));
    digest = record != nullptr ? record->digest() : std::string();
  });
  const uint64_t version =
      QueryNumber(request.query_, "version").value_or(present);
  if (version > present) {
    return ProblemReply(AdminStatus::kNotFound,
                        "This version is not committed.");
  }
  const InForceStatus status = context_.state_->StatusOf(version);
  JsonValue silent = JsonValue::Array();
  for (const std::string& name : status.silent_) {
    silent.Append(JsonValue::String(name));
  }
  JsonValue body = JsonValue::Object();
  body.Set("version", JsonNumber(version));
  body.Set("digest", JsonValue::String(digest));
  body.Set("in_force", JsonValue::Bool(status.in_force_));
  body.Set(status.in_force_ ? "waited_out" : "waiting_for", std::move(silent));
  if (!status.in_force_) {
    body.Set("leases_end_ms",
             JsonNumber(ToMs(status.leases_end_ - SteadyNow())));
  }
  body.Set("gateways", Gateways());
  return JsonReply(body);
}

AdminResponse ConfigRoutes::Change(const AdminRequest& request,
                                   const std::string& operator_name) const {
  Fault fault;
  std::optional<JsonValue> body = ParseJson(request.body_, &fault);
  if (!body) {
    return BadBody({fault});
  }
  wire::ConfigChange change;
  if (!TakeContent(&*body, &change)) {
    return ProblemReply(AdminStatus::kBadRequest,
                        "The body needs an object \"patch\" or an object "
                        "\"document\", and not both.");
  }
  std::vector<Fault> faults;
  ObjectReader reader(*body, "", &faults);
  ReadCommon(&reader, &change);
  reader.Finish();
  if (!faults.empty()) {
    return BadBody(faults);
  }
  change.set_operator_name(operator_name);
  return Commit(std::move(change));
}

AdminResponse ConfigRoutes::Rollback(const AdminRequest& request,
                                     const std::string& operator_name) const {
  Fault fault;
  const std::optional<JsonValue> body = ParseJson(request.body_, &fault);
  if (!body) {
    return BadBody({fault});
  }
  wire::ConfigChange change;
  std::vector<Fault> faults;
  ObjectReader reader(*body, "", &faults);
  ReadCommon(&reader, &change);
  uint64_t version = 0;
  if (reader.Whole("version", Need::kRequired, 1, kMaxVersion, &version)) {
    change.set_rollback_to(version);
    change.set_digest(Sha256Hex("rollback:" + std::to_string(version)));
  }
  reader.Finish();
  if (!faults.empty()) {
    return BadBody(faults);
  }
  change.set_operator_name(operator_name);
  return Commit(std::move(change));
}

AdminResponse ConfigRoutes::Commit(wire::ConfigChange change) const {
  const StateLimits& limits = context_.options_->limits_;
  change.set_unix_ms(context_.unix_ms_());
  change.set_change_id_window_ms(limits.change_id_window_ms_);
  change.set_history_versions(limits.history_versions_);
  std::optional<wire::ConfigResult> known;
  context_.state_->View([&](const StateMachine& state) {
    known = state.config().ResultOf(change);
  });
  if (known) {
    return ReplyTo(*known);
  }
  const std::vector<Fault> faults = FaultsOf(change);
  if (!faults.empty()) {
    JsonValue members = JsonValue::Object();
    members.Set("outcome", JsonValue::String("invalid"));
    members.Set("faults", FaultList(faults));
    return ProblemReply(AdminStatus::kUnprocessable, "", members);
  }
  wire::StateCommand command;
  *command.mutable_change() = std::move(change);
  Error error;
  const std::optional<wire::StateResult> result =
      context_.proposer_->ProposeAndWait(std::move(command), kCommitTimeout,
                                         &error);
  if (!result) {
    return UnavailableReply(
        "The change is not known to be committed; send it again with the same "
        "change id. " +
        error.message_);
  }
  return ReplyTo(result->config());
}

AdminResponse ConfigRoutes::ReplyTo(const wire::ConfigResult& result) const {
  JsonValue members = JsonValue::Object();
  const auto problem = [&members](AdminStatus status, const char* outcome) {
    members.Set("outcome", JsonValue::String(outcome));
    return ProblemReply(status, "", members);
  };
  switch (result.outcome()) {
    case wire::ConfigResult::COMMITTED:
      members.Set("outcome", JsonValue::String("committed"));
      members.Set("version", JsonNumber(result.version()));
      members.Set("digest", JsonValue::String(result.digest()));
      return JsonReply(members);
    case wire::ConfigResult::CONFLICT:
      members.Set("present_version", JsonNumber(result.present_version()));
      members.Set("winner_operator",
                  JsonValue::String(result.winner_operator()));
      members.Set("winner_change_id",
                  JsonValue::String(result.winner_change_id()));
      return problem(AdminStatus::kConflict, "conflict");
    case wire::ConfigResult::CHANGE_ID_REUSED:
      return problem(AdminStatus::kConflict, "change_id_reused");
    case wire::ConfigResult::UNKNOWN_VERSION:
      members.Set("present_version", JsonNumber(result.present_version()));
      return problem(AdminStatus::kNotFound, "unknown_version");
    case wire::ConfigResult::TOO_MANY_CHANGES:
      return problem(AdminStatus::kTooMany, "too_many_changes");
    default:
      return problem(AdminStatus::kUnprocessable, "invalid");
  }
}

std::vector<Fault> ConfigRoutes::FaultsOf(
    const wire::ConfigChange& change) const {
  Error error;
  std::optional<std::string> document;
  uint64_t version = 0;
  context_.state_->View([&](const StateMachine& state) {
    document = state.config().Preview(change, &error);
    version = state.config().version() + 1;
  });
  if (!document) {
    return {Fault{"", 0, error.message_}};
  }
  std::vector<Fault> faults;
  ParseClusterConfig(*document, version, &faults);
  for (Fault& fault : faults) {
    // Lines refer to the canonical document, which differs from the one sent.
    fault.line_ = 0;
  }
  return faults;
}

JsonValue ConfigRoutes::Gateways() const {
  const TimePoint now = SteadyNow();
  const uint64_t unix_ms = context_.unix_ms_();
  const auto observations = context_.state_->observations();
  std::vector<wire::GatewayId> registered;
  context_.state_->View([&](const StateMachine& state) {
    for (const auto& entry : state.gateways().gateways()) {
      registered.push_back(entry.second);
    }
  });
  JsonValue list = JsonValue::Array();
  for (const wire::GatewayId& gateway : registered) {
    JsonValue item = JsonValue::Object();
    item.Set("name", JsonValue::String(gateway.name()));
    item.Set("incarnation", JsonNumber(gateway.incarnation()));
    item.Set("failure_domain", JsonValue::String(gateway.failure_domain()));
    const auto found = observations.find(gateway.name());
    const bool has_contact =
        found != observations.end() &&
        found->second.incarnation_ == gateway.incarnation();
    item.Set("version", JsonNumber(has_contact ? found->second.version_ : 0));
    if (has_contact) {
      item.Set("since_ms",
               JsonNumber(unix_ms - ToMs(now - found->second.since_)));
      item.Set("lease_ms",
               JsonNumber(ToMs(context_.options_->config_lease_ -
                               (now - found->second.last_contact_))));
    }
    list.Append(std::move(item));
  }
  return list;
}

}  // namespace citronlane
