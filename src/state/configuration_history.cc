#include "citronlane/state/configuration_history.h"

#include <utility>

#include "citronlane/base/sha256.h"
#include "citronlane/json/fault.h"
#include "citronlane/json/parse.h"
#include "citronlane/state/canonical_json.h"

namespace citronlane {
namespace {

/// Maximum number of change ids kept. Changes beyond it are refused, since a
/// resend of a change whose id was removed early would be applied again.
constexpr size_t kMaxChangeIds = 100000;

std::optional<JsonValue> ParseObject(std::string_view text, Error* error) {
  Fault fault;
  std::optional<JsonValue> value = ParseJson(text, &fault);
  if (!value) {
    error->message_ =
        "line " + std::to_string(fault.line_) + ": " + fault.message_;
    return std::nullopt;
  }
  if (!value->IsObject()) {
    error->message_ = "The document is not a JSON object.";
    return std::nullopt;
  }
  return value;
}

wire::ConfigResult Failure(wire::ConfigResult::Outcome outcome,
                           uint64_t present_version) {
  wire::ConfigResult result;
  result.set_outcome(outcome);
  result.set_present_version(present_version);
  return result;
}

}  // namespace

ConfigurationHistory::ConfigurationHistory() : root_(JsonValue::Object()) {}

wire::ConfigResult ConfigurationHistory::Apply(
    uint64_t index,
    uint64_t time_ms,
    const wire::ConfigChange& change) {
  ExpireChangeIds(time_ms);
  if (change_ids_.count(change.change_id()) > 0) {
    return *ResultOf(change);
  }
  if (change_ids_.size() >= kMaxChangeIds) {
    return Failure(wire::ConfigResult::TOO_MANY_CHANGES, version_);
  }
  std::optional<wire::ConfigResult> result = ResultOf(change);
  if (!result) {
    Error error;
    std::optional<JsonValue> target = Target(change, &error);
    result = target ? Commit(index, change, *std::move(target))
                    : Failure(wire::ConfigResult::INVALID, version_);
  }
  RecordChangeId(time_ms, change, *result);
  return *result;
}

std::optional<wire::ConfigResult> ConfigurationHistory::ResultOf(
    const wire::ConfigChange& change) const {
  const auto known = change_ids_.find(change.change_id());
  if (known != change_ids_.end()) {
    if (known->second.digest() == change.digest()) {
      return known->second.result();
    }
    return Failure(wire::ConfigResult::CHANGE_ID_REUSED, version_);
  }
  if (change.base_version() < version_) {
    return Conflict(change.base_version());
  }
  const bool unknown_target =
      change.rollback_to() != 0 && Find(change.rollback_to()) == nullptr;
  if (change.base_version() > version_ || unknown_target) {
    return Failure(wire::ConfigResult::UNKNOWN_VERSION, version_);
  }
  return std::nullopt;
}

std::optional<std::string> ConfigurationHistory::Preview(
    const wire::ConfigChange& change,
    Error* error) const {
  const std::optional<JsonValue> target = Target(change, error);
  if (!target) {
    return std::nullopt;
  }
  return WriteJson(*target);
}

const wire::ConfigRecord* ConfigurationHistory::Find(uint64_t version) const {
  if (history_.empty() || version < history_.front().version() ||
      version > version_) {
    return nullptr;
  }
  return &history_[version - history_.front().version()];
}

std::optional<std::string> ConfigurationHistory::DocumentAt(
    uint64_t version) const {
  if (version == version_) {
    return document_;
  }
  const std::optional<JsonValue> value = ValueAt(version);
  if (!value) {
    return std::nullopt;
  }
  return CanonicalJson(*value);
}

std::optional<std::string> ConfigurationHistory::PatchFrom(
    uint64_t version) const {
  const std::optional<JsonValue> value = ValueAt(version);
  if (!value) {
    return std::nullopt;
  }
  return WriteJson(DiffMergePatch(*value, root_));
}

void ConfigurationHistory::Save(wire::ConfigSnapshot* snapshot) const {
  snapshot->set_version(version_);
  snapshot->set_document(document_);
  for (const wire::ConfigRecord& record : history_) {
    *snapshot->add_history() = record;
  }
  for (const std::string& id : change_id_order_) {
    *snapshot->add_change_ids() = change_ids_.at(id);
  }
}

bool ConfigurationHistory::Load(const wire::ConfigSnapshot& snapshot,
                                Error* error) {
  JsonValue root = JsonValue::Object();
  if (snapshot.version() > 0) {
    std::optional<JsonValue> parsed = ParseObject(snapshot.document(), error);
    if (!parsed) {
      return false;
    }
    root = *std::move(parsed);
  }
  root_ = std::move(root);
  version_ = snapshot.version();
  document_ = snapshot.document();
  digest_ = version_ == 0 ? std::string() : Sha256Hex(document_);
  history_.assign(snapshot.history().begin(), snapshot.history().end());
  change_ids_.clear();
  change_id_order_.clear();
  for (const wire::ChangeIdRecord& record : snapshot.change_ids()) {
    change_ids_[record.change_id()] = record;
    change_id_order_.push_back(record.change_id());
  }
  return true;
}

std::optional<JsonValue> ConfigurationHistory::Target(
    const wire::ConfigChange& change,
    Error* error) const {
  if (change.rollback_to() != 0) {
    std::optional<JsonValue> value = ValueAt(change.rollback_to());
    if (!value) {
      error->message_ = "The version is not in the history.";
    }
    return value;
  }
  const bool is_document = !change.document().empty();
  std::optional<JsonValue> sent =
      ParseObject(is_document ? change.document() : change.patch(), error);
  if (!sent) {
    return std::nullopt;
  }
  if (!is_document) {
    JsonValue patched = root_;
    ApplyMergePatch(*sent, &patched);
    return SortMembers(patched);
  }
  if (HasNullMember(*sent)) {
    error->message_ = "A full document can not have null members.";
    return std::nullopt;
  }
  return SortMembers(*sent);
}

std::optional<JsonValue> ConfigurationHistory::ValueAt(uint64_t version) const {
  if (Find(version) == nullptr) {
    return std::nullopt;
  }
  JsonValue value = root_;
  for (uint64_t later = version_; later > version; --later) {
    Error error;
    const std::optional<JsonValue> patch =
        ParseObject(Find(later)->backward_patch(), &error);
    if (!patch) {
      return std::nullopt;
    }
    ApplyMergePatch(*patch, &value);
  }
  return SortMembers(value);
}

wire::ConfigResult ConfigurationHistory::Conflict(uint64_t base_version) const {
  wire::ConfigResult result = Failure(wire::ConfigResult::CONFLICT, version_);
  const wire::ConfigRecord* winner = Find(base_version + 1);
  if (winner != nullptr) {
    result.set_winner_operator(winner->operator_name());
    result.set_winner_change_id(winner->change_id());
  }
  return result;
}

wire::ConfigResult ConfigurationHistory::Commit(
    uint64_t index,
    const wire::ConfigChange& change,
    JsonValue target) {
  wire::ConfigRecord record;
  record.set_version(version_ + 1);
  record.set_change_id(change.change_id());
  record.set_operator_name(change.operator_name());
  record.set_reason(change.reason());
  record.set_unix_ms(change.unix_ms());
  record.set_log_index(index);
  record.set_rollback_to(change.rollback_to());
  record.set_forward_patch(WriteJson(DiffMergePatch(root_, target)));
  record.set_backward_patch(WriteJson(DiffMergePatch(target, root_)));
  ++version_;
  root_ = std::move(target);
  document_ = WriteJson(root_);
  digest_ = Sha256Hex(document_);
  record.set_digest(digest_);
  history_.push_back(std::move(record));
  while (history_.size() > change.history_versions() && history_.size() > 1) {
    history_.pop_front();
  }
  wire::ConfigResult result;
  result.set_outcome(wire::ConfigResult::COMMITTED);
  result.set_version(version_);
  result.set_digest(digest_);
  result.set_present_version(version_);
  return result;
}

void ConfigurationHistory::RecordChangeId(uint64_t time_ms,
                                          const wire::ConfigChange& change,
                                          const wire::ConfigResult& result) {
  wire::ChangeIdRecord record;
  record.set_change_id(change.change_id());
  record.set_digest(change.digest());
  record.set_expires_ms(time_ms + change.change_id_window_ms());
  *record.mutable_result() = result;
  change_id_order_.push_back(change.change_id());
  change_ids_[change.change_id()] = std::move(record);
}

void ConfigurationHistory::ExpireChangeIds(uint64_t time_ms) {
  while (!change_id_order_.empty()) {
    const auto oldest = change_ids_.find(change_id_order_.front());
    if (oldest->second.expires_ms() > time_ms) {
      return;
    }
    change_ids_.erase(oldest);
    change_id_order_.pop_front();
  }
}

}  // namespace citronlane
