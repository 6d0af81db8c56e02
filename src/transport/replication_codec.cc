#include "citronlane/transport/replication_codec.h"

#include <utility>

#include "replication.pb.h"

namespace citronlane {
namespace {

constexpr auto kLastMessageKind =
    static_cast<uint32_t>(MessageKind::kTimeoutNow);
constexpr auto kLastEntryKind = static_cast<uint32_t>(EntryKind::kMembership);

}  // namespace

void EncodeMessage(Message message, wire::RaftMessage* out) {
  out->Clear();
  out->set_kind(static_cast<uint32_t>(message.kind_));
  out->set_from(message.from_);
  out->set_to(message.to_);
  out->set_incarnation(message.incarnation_);
  out->set_term(message.term_);
  out->set_log_index(message.log_index_);
  out->set_log_term(message.log_term_);
  out->set_commit(message.commit_);
  out->set_reject(message.reject_);
  out->set_hint_index(message.hint_index_);
  out->set_hint_term(message.hint_term_);
  out->set_context(message.context_);
  out->set_offset(message.offset_);
  out->set_last_part(message.last_part_);
  out->set_data(std::move(message.data_));
  for (Entry& entry : message.entries_) {
    wire::LogEntry* encoded = out->add_entries();
    encoded->set_index(entry.index_);
    encoded->set_term(entry.term_);
    encoded->set_kind(static_cast<uint32_t>(entry.kind_));
    encoded->set_payload(std::move(entry.payload_));
  }
}

std::optional<Message> DecodeMessage(wire::RaftMessage* in) {
  if (in->kind() > kLastMessageKind) {
    return std::nullopt;
  }
  Message message;
  message.kind_ = static_cast<MessageKind>(in->kind());
  message.from_ = in->from();
  message.to_ = in->to();
  message.incarnation_ = in->incarnation();
  message.term_ = in->term();
  message.log_index_ = in->log_index();
  message.log_term_ = in->log_term();
  message.commit_ = in->commit();
  message.reject_ = in->reject();
  message.hint_index_ = in->hint_index();
  message.hint_term_ = in->hint_term();
  message.context_ = in->context();
  message.offset_ = in->offset();
  message.last_part_ = in->last_part();
  message.data_ = std::move(*in->mutable_data());
  message.entries_.reserve(static_cast<size_t>(in->entries_size()));
  for (wire::LogEntry& entry : *in->mutable_entries()) {
    if (entry.kind() > kLastEntryKind) {
      return std::nullopt;
    }
    message.entries_.push_back(Entry{entry.index(), entry.term(),
                                     static_cast<EntryKind>(entry.kind()),
                                     std::move(*entry.mutable_payload())});
  }
  return message;
}

}  // namespace citronlane
