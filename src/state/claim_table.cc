#include "citronlane/state/claim_table.h"

#include <algorithm>

namespace citronlane {
namespace {

/// Maximum number of expired claims that one command removes, so that no
/// command takes long.
constexpr size_t kMaxExpiredPerCommand = 64;
/// Maximum number of released calls recorded for one key.
constexpr int kMaxReleasedPerKey = 16;

template <typename Command>
bool IsOwner(const wire::ClaimRecord& record, const Command& command) {
  return record.gateway() == command.gateway().name() &&
         record.incarnation() == command.gateway().incarnation() &&
         record.claim_id() == command.claim_id();
}

template <typename Command>
bool WasReleased(const wire::ClaimRecord& record, const Command& command) {
  return std::any_of(record.released().begin(), record.released().end(),
                     [&command](const wire::ReleasedClaim& released) {
                       return released.gateway() == command.gateway().name() &&
                              released.incarnation() ==
                                  command.gateway().incarnation() &&
                              released.claim_id() == command.claim_id();
                     });
}

void AddReleased(const wire::FinishCommand& command,
                 wire::ClaimRecord* record) {
  if (WasReleased(*record, command)) {
    return;
  }
  if (record->released_size() >= kMaxReleasedPerKey) {
    record->mutable_released()->DeleteSubrange(0, 1);
  }
  wire::ReleasedClaim* released = record->add_released();
  released->set_gateway(command.gateway().name());
  released->set_incarnation(command.gateway().incarnation());
  released->set_claim_id(command.claim_id());
}

wire::ClaimReply Reply(wire::ClaimReply::Result result) {
  wire::ClaimReply reply;
  reply.set_result(result);
  return reply;
}

// A definite refusal: every retry of the same claim gets it too.
wire::ClaimReply Refusal() {
  wire::ClaimReply reply = Reply(wire::ClaimReply::UNAVAILABLE);
  reply.set_definite(true);
  return reply;
}

wire::ClaimReply StoredReply(const wire::ClaimRecord& record) {
  wire::ClaimReply reply = Reply(wire::ClaimReply::FINISHED);
  reply.set_status(record.status());
  reply.set_content_type(record.content_type());
  reply.set_answer(record.answer());
  reply.set_answer_dropped(record.answer_dropped());
  return reply;
}

}  // namespace

ClaimTable::ClaimTable(RegisteredHook registered)
    : registered_(std::move(registered)) {}

wire::ClaimReply ClaimTable::Claim(const wire::ClaimCommand& command) {
  if (!registered_(command.gateway().name(), command.gateway().incarnation())) {
    return Reply(wire::ClaimReply::UNAVAILABLE);
  }
  const Key key(command.account(), command.key());
  const auto found = claims_.find(key);
  if (found == claims_.end()) {
    if (claims_.size() >= command.max_claims()) {
      return Refusal();
    }
    return Grant(command, &claims_[key]);
  }
  wire::ClaimRecord& record = found->second;
  if (record.phase() == wire::ClaimRecord::RELEASED) {
    return WasReleased(record, command) ? Refusal() : Grant(command, &record);
  }
  if (record.body_digest() != command.body_digest()) {
    return Reply(wire::ClaimReply::KEY_REUSED);
  }
  if (record.phase() == wire::ClaimRecord::FINISHED) {
    return StoredReply(record);
  }
  if (IsOwner(record, command)) {
    return Reply(wire::ClaimReply::GRANTED);
  }
  return Reply(registered_(record.gateway(), record.incarnation())
                   ? wire::ClaimReply::RUNNING
                   : wire::ClaimReply::OWNER_LOST);
}

bool ClaimTable::Finish(uint64_t time_ms, const wire::FinishCommand& command) {
  const Key key(command.account(), command.key());
  if (command.release()) {
    return Release(time_ms, command, key);
  }
  const auto found = claims_.find(key);
  if (found == claims_.end() || !IsOwner(found->second, command)) {
    return false;
  }
  wire::ClaimRecord& record = found->second;
  if (record.phase() != wire::ClaimRecord::RUNNING) {
    return record.phase() == wire::ClaimRecord::FINISHED;
  }
  record.set_phase(wire::ClaimRecord::FINISHED);
  record.set_status(command.status());
  record.set_content_type(command.content_type());
  const uint64_t bytes = command.answer().size();
  if (bytes <= command.answer_bytes() &&
      answer_bytes_ + bytes <= command.total_answer_bytes()) {
    record.set_answer(command.answer());
    answer_bytes_ += bytes;
  } else {
    record.set_answer_dropped(true);
  }
  RemoveFromOwner(key, record);
  SetExpiry(key, &record, time_ms + command.retention_ms());
  return true;
}

void ClaimTable::OnOwnerLost(uint64_t time_ms,
                             const std::string& gateway,
                             uint64_t incarnation,
                             uint64_t retention_ms) {
  const auto owned = running_.find({gateway, incarnation});
  if (owned == running_.end()) {
    return;
  }
  for (const Key& key : owned->second) {
    SetExpiry(key, &claims_.at(key), time_ms + retention_ms);
  }
}

void ClaimTable::Expire(uint64_t time_ms) {
  for (size_t count = 0; count < kMaxExpiredPerCommand; ++count) {
    if (expiries_.empty() || expiries_.begin()->first > time_ms) {
      return;
    }
    const Key key = expiries_.begin()->second;
    wire::ClaimRecord& record = claims_.at(key);
    if (record.phase() == wire::ClaimRecord::RUNNING &&
        registered_(record.gateway(), record.incarnation())) {
      SetExpiry(key, &record, 0);  // The owner is registered again.
      continue;
    }
    if (record.phase() == wire::ClaimRecord::RUNNING) {
      RemoveFromOwner(key, record);
    }
    answer_bytes_ -= record.answer().size();
    SetExpiry(key, &record, 0);
    claims_.erase(key);
  }
}

void ClaimTable::Save(wire::ClaimSnapshot* snapshot) const {
  for (const auto& claim : claims_) {
    *snapshot->add_claims() = claim.second;
  }
}

void ClaimTable::Load(const wire::ClaimSnapshot& snapshot) {
  claims_.clear();
  expiries_.clear();
  running_.clear();
  answer_bytes_ = 0;
  for (const wire::ClaimRecord& record : snapshot.claims()) {
    Insert(record);
  }
}

wire::ClaimReply ClaimTable::Grant(const wire::ClaimCommand& command,
                                   wire::ClaimRecord* record) {
  const Key key(command.account(), command.key());
  SetExpiry(key, record, 0);
  record->set_account(command.account());
  record->set_key(command.key());
  record->set_body_digest(command.body_digest());
  record->set_phase(wire::ClaimRecord::RUNNING);
  record->set_gateway(command.gateway().name());
  record->set_incarnation(command.gateway().incarnation());
  record->set_claim_id(command.claim_id());
  running_[{record->gateway(), record->incarnation()}].insert(key);
  return Reply(wire::ClaimReply::GRANTED);
}

bool ClaimTable::Release(uint64_t time_ms,
                         const wire::FinishCommand& command,
                         const Key& key) {
  // A release may arrive before its claim. It is recorded even when there is
  // nothing to release, so that the late claim is not granted to a call that
  // has ended.
  const bool is_new = claims_.count(key) == 0;
  wire::ClaimRecord& record = claims_[key];
  const bool owned =
      record.phase() == wire::ClaimRecord::RUNNING && IsOwner(record, command);
  if (record.phase() == wire::ClaimRecord::FINISHED &&
      IsOwner(record, command)) {
    return false;
  }
  AddReleased(command, &record);
  if (is_new) {
    record.set_account(command.account());
    record.set_key(command.key());
  }
  if (owned && !is_new) {
    RemoveFromOwner(key, record);
  }
  if (owned || is_new || record.phase() == wire::ClaimRecord::RELEASED) {
    record.set_phase(wire::ClaimRecord::RELEASED);
    SetExpiry(key, &record, time_ms + command.retention_ms());
  }
  return true;
}

void ClaimTable::RemoveFromOwner(const Key& key,
                                 const wire::ClaimRecord& record) {
  const auto owned = running_.find({record.gateway(), record.incarnation()});
  if (owned == running_.end()) {
    return;
  }
  owned->second.erase(key);
  if (owned->second.empty()) {
    running_.erase(owned);
  }
}

void ClaimTable::SetExpiry(const Key& key,
                           wire::ClaimRecord* record,
                           uint64_t time_ms) {
  if (record->expires_ms() != 0) {
    expiries_.erase({record->expires_ms(), key});
  }
  record->set_expires_ms(time_ms);
  if (time_ms != 0) {
    expiries_.insert({time_ms, key});
  }
}

void ClaimTable::Insert(const wire::ClaimRecord& record) {
  const Key key(record.account(), record.key());
  claims_[key] = record;
  answer_bytes_ += record.answer().size();
  if (record.expires_ms() != 0) {
    expiries_.insert({record.expires_ms(), key});
  }
  if (record.phase() == wire::ClaimRecord::RUNNING) {
    running_[{record.gateway(), record.incarnation()}].insert(key);
  }
}

}  // namespace citronlane
