#include "citronlane/stages/stage_reply_check.h"

#include <functional>
#include <string>
#include <string_view>

namespace citronlane {
namespace {

uint64_t HashOf(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

uint64_t NameOf(const StagePiece& piece) {
  return HashOf(piece.request_id_ + "/" + std::to_string(piece.stage_) + "/" +
                std::to_string(piece.piece_));
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
  Forget(now);
  bool names_new = false;
  bool names_known = false;
  for (size_t i = 0; i < results.size(); ++i) {
    if (results[i].handle_.empty()) {
      continue;
    }
    const auto seen = seen_.find(HashOf(results[i].handle_));
    if (seen == seen_.end()) {
      names_new = true;
    } else if (seen->second == NameOf(pieces[i])) {
      names_known = true;
    } else {
      return Match::kSeenBefore;
    }
  }
  Remember(results, pieces, now);
  return names_new && !names_known ? Match::kOwn : Match::kMayBeOthers;
}

void StageReplyCheck::Forget(TimePoint now) {
  while (!in_order_.empty() && now - in_order_.front().first > memory_) {
    seen_.erase(in_order_.front().second);
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
    if (seen_.try_emplace(hash, NameOf(pieces[i])).second) {
      in_order_.emplace_back(now, hash);
    }
  }
}

}  // namespace citronlane
