#include "citronlane/stages/stage_reply_check.h"

#include <algorithm>

namespace citronlane {

StageReplyCheck::StageReplyCheck(Duration memory) : memory_(memory) {}

StageReplyCheck::Match StageReplyCheck::Take(
    absl::Span<const StagePieceResult> results,
    size_t pieces,
    TimePoint now) {
  if (results.size() != pieces) {
    return Match::kOtherSize;
  }
  const auto named = std::find_if(
      results.begin(), results.end(),
      [](const StagePieceResult& result) { return !result.handle_.empty(); });
  if (named == results.end()) {
    return Match::kOwn;
  }
  while (!in_order_.empty() && now - in_order_.front().first > memory_) {
    seen_.erase(in_order_.front().second);
    in_order_.pop_front();
  }
  if (!seen_.insert(named->handle_).second) {
    return Match::kSeenBefore;
  }
  in_order_.emplace_back(now, named->handle_);
  return Match::kOwn;
}

}  // namespace citronlane
