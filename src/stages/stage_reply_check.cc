#include "citronlane/stages/stage_reply_check.h"

#include <algorithm>

namespace citronlane {
namespace {

std::string NameOf(const StagePiece& piece) {
  return piece.request_id_ + "/" + std::to_string(piece.stage_) + "/" +
         std::to_string(piece.piece_);
}

}  // namespace

StageReplyCheck::StageReplyCheck(Duration memory) : memory_(memory) {}

StageReplyCheck::Match StageReplyCheck::Take(
    absl::Span<const StagePieceResult> results,
    absl::Span<const StagePiece> pieces,
    TimePoint now) {
  if (results.size() != pieces.size()) {
    return Match::kOtherSize;
  }
  const auto named = std::find_if(
      results.begin(), results.end(),
      [](const StagePieceResult& result) { return !result.handle_.empty(); });
  if (named == results.end()) {
    return Match::kMayBeOthers;
  }
  while (!in_order_.empty() && now - in_order_.front().first > memory_) {
    seen_.erase(in_order_.front().second);
    in_order_.pop_front();
  }
  const std::string piece = NameOf(pieces[named - results.begin()]);
  const auto [entry, is_new] = seen_.try_emplace(named->handle_, piece);
  if (!is_new) {
    return entry->second == piece ? Match::kMayBeOthers : Match::kSeenBefore;
  }
  in_order_.emplace_back(now, named->handle_);
  return Match::kOwn;
}

}  // namespace citronlane
