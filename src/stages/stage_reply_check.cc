#include "citronlane/stages/stage_reply_check.h"

#include <functional>
#include <string>
#include <string_view>

namespace citronlane {
namespace {

uint64_t HashOf(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

uint64_t HashOf(const StagePiece& piece) {
  return HashOf(piece.request_id_ + "/" + std::to_string(piece.stage_) + "/" +
                std::to_string(piece.piece_));
}

}  // namespace

StageReplyCheck::StageReplyCheck(Duration retention) : retention_(retention) {}

StageReplyCheck::Match StageReplyCheck::Take(
    absl::Span<const StagePieceResult> results,
    absl::Span<const StagePiece> pieces,
    TimePoint now) {
  if (results.size() != pieces.size()) {
    return Match::kSizeMismatch;
  }
  Expire(now);
  bool has_new_handle = false;
  bool has_known_handle = false;
  for (size_t i = 0; i < results.size(); ++i) {
    if (results[i].handle_.empty()) {
      continue;
    }
    const auto known = piece_by_handle_.find(HashOf(results[i].handle_));
    if (known == piece_by_handle_.end()) {
      has_new_handle = true;
    } else if (known->second == HashOf(pieces[i])) {
      has_known_handle = true;
    } else {
      return Match::kDuplicateHandle;
    }
  }
  Remember(results, pieces, now);
  return has_new_handle && !has_known_handle ? Match::kOwn : Match::kAmbiguous;
}

void StageReplyCheck::Expire(TimePoint now) {
  while (!in_order_.empty() && now - in_order_.front().first > retention_) {
    piece_by_handle_.erase(in_order_.front().second);
    in_order_.pop_front();
  }
}

void StageReplyCheck::Remember(absl::Span<const StagePieceResult> results,
                               absl::Span<const StagePiece> pieces,
                               TimePoint now) {
  for (size_t i = 0; i < results.size(); ++i) {
    const std::string& handle = results[i].handle_;
    if (handle.empty()) {
      continue;
    }
    const uint64_t hash = HashOf(handle);
    if (piece_by_handle_.try_emplace(hash, HashOf(pieces[i])).second) {
      in_order_.emplace_back(now, hash);
    }
  }
}

}  // namespace citronlane
