// What is blocked, and for how long.

#include <algorithm>
#include <iterator>
#include <set>

#include "citronlane/routing/crash_features.h"
#include "citronlane/routing/crash_ledger.h"

namespace citronlane {
namespace {

using Kind = RequestFeature::Kind;

/// Crashes in a row after which requests with a feature are blocked.
constexpr size_t kBlockingCrashes = 3;
constexpr size_t kBlockingSegmentCrashes = 4;
/// While servers crash without the feature too, a request that is sent again
/// after each crash may meet several by chance; then one more is needed. So
/// many other crashes within kBackgroundTime count as that.
constexpr size_t kBackgroundCrashes = 3;
constexpr Duration kBackgroundTime = std::chrono::minutes(1);
/// Crashes that the feature must explain better than those beside it.
constexpr size_t kMinLeadingCrashes = 2;
/// Blocked whatever ran beside it: two features that always run together cannot
/// be told apart.
constexpr size_t kCertainCrashes = 6;
/// As above for a segment, if servers have survived nothing else meanwhile.
constexpr size_t kCertainSegmentCrashes = 8;
/// First block. Each trial after a block costs one server and what it runs; a
/// false block of a segment costs all requests that have it.
constexpr Duration kBlockTime = std::chrono::minutes(5);
constexpr Duration kSegmentBlockTime = std::chrono::seconds(30);
constexpr Duration kMaxBlockTime = std::chrono::hours(1);

SuspectRequest WithServers(SuspectRequest suspect,
                           const std::vector<const ServerCrash*>& crashes) {
  for (const ServerCrash* crash : crashes) {
    suspect.servers_.push_back(crash->server_);
  }
  return suspect;
}

Duration FirstBlockTime(const RequestFeature& feature) {
  return feature.kind_ == Kind::kContent ? kBlockTime : kSegmentBlockTime;
}

}  // namespace

// A content need not be told apart from its own segments, since a block of it
// concerns fewer requests.
bool CrashLedger::Leads(const RequestFeature& feature,
                        const ServerCrash& crash,
                        const CountHook& count) const {
  std::set<RequestFeature> others = FeaturesOf(crash);
  others.erase(feature);
  if (feature.kind_ == Kind::kContent) {
    const auto own = std::find_if(crash.running_.begin(), crash.running_.end(),
                                  [&](const RequestFingerprint& request) {
                                    return ContentFeature(request) == feature;
                                  });
    for (const std::string& segment : own->segments_) {
      others.erase(SegmentFeature(segment));
    }
  }
  const size_t crashes = count(feature);
  return std::all_of(
      others.begin(), others.end(),
      [&](const RequestFeature& other) { return count(other) < crashes; });
}

bool CrashLedger::LeadsInMost(const RequestFeature& feature,
                              const Evidence& crashes,
                              const CountHook& count) const {
  const auto leading = std::count_if(
      crashes.begin(), crashes.end(),
      [&](const ServerCrash* crash) { return Leads(feature, *crash, count); });
  return static_cast<size_t>(leading) >=
         std::min(kMinLeadingCrashes, crashes.size());
}

bool CrashLedger::HasBackground(const RequestFeature& feature,
                                const Evidence& evidence) const {
  if (evidence.empty()) {
    return false;
  }
  const TimePoint since = evidence.back()->at_ - kBackgroundTime;
  const auto& own = crashes_of_.at(feature);
  Evidence others;
  for (auto it = crashes_.rbegin(); it != crashes_.rend(); ++it) {
    if (it->second.at_ >= since &&
        std::count(own.begin(), own.end(), it->first) == 0) {
      others.push_back(&it->second);
    }
  }
  KeepIndependent(&others);
  return others.size() >= kBackgroundCrashes;
}

bool CrashLedger::OthersSurvived(const RequestFeature& feature,
                                 const Evidence& evidence) const {
  return std::any_of(survived_.begin(), survived_.end(),
                     [&](const auto& entry) {
                       return !(entry.first == feature) &&
                              entry.second.at_ > evidence.front()->at_;
                     });
}

bool CrashLedger::MustBlock(const RequestFeature& feature,
                            const Evidence& evidence) const {
  const auto block = blocks_.find(feature);
  if (block == blocks_.end()) {
    return MustBlockFirst(feature, evidence);
  }
  if (IsSuspended(feature)) {
    return HasFailedTrial(feature) || MustBlockFirst(feature, evidence);
  }
  return !evidence.empty() &&
         evidence.back()->at_ > block->second.suspect_.blocked_until_;
}

bool CrashLedger::MustBlockFirst(const RequestFeature& feature,
                                 const Evidence& evidence) const {
  const bool is_segment = feature.kind_ == Kind::kPromptSegment;
  if (is_segment && evidence.size() < kCertainSegmentCrashes &&
      (evidence.empty() || !OthersSurvived(feature, evidence))) {
    return false;
  }
  if (evidence.size() >= kCertainCrashes) {
    return true;
  }
  const size_t needed = is_segment ? kBlockingSegmentCrashes : kBlockingCrashes;
  if (evidence.size() < needed ||
      (evidence.size() == needed && HasBackground(feature, evidence))) {
    return false;
  }
  return LeadsInMost(feature, evidence, [this](const RequestFeature& other) {
    return EvidenceAgainst(other).size();
  });
}

bool CrashLedger::IsSuspended(const RequestFeature& feature) const {
  const auto block = blocks_.find(feature);
  return block != blocks_.end() && block->second.length_ == Duration();
}

bool CrashLedger::DropExplainedSuspensions() {
  const size_t before = blocks_.size();
  for (auto it = blocks_.begin(); it != blocks_.end();) {
    const RequestFeature& feature = it->first;
    const auto known = crashes_of_.find(feature);
    // A suspension that was adopted has no crashes here.
    const bool is_explained =
        IsSuspended(feature) && known != crashes_of_.end() &&
        CrashesSince(feature, TimePoint::min()).size() < known->second.size();
    const bool must_end =
        is_explained && CountUnsettled(feature) < kBlockingCrashes;
    it = must_end ? blocks_.erase(it) : std::next(it);
  }
  return blocks_.size() != before;
}

bool CrashLedger::HasFailedTrial(const RequestFeature& feature) const {
  const Evidence crashes = CrashesUnder(feature);
  return std::any_of(
      crashes.begin(), crashes.end(), [&feature](const ServerCrash* crash) {
        return std::any_of(crash->running_.begin(), crash->running_.end(),
                           [&feature](const RequestFingerprint& request) {
                             return request.is_trial_ &&
                                    ContentFeature(request) == feature;
                           });
      });
}

bool CrashLedger::MustSuspend(const RequestFeature& feature) const {
  return feature.kind_ == Kind::kContent && blocks_.count(feature) == 0 &&
         CountUnsettled(feature) >= kBlockingCrashes &&
         LeadsInMost(feature, UnsettledCrashes(feature),
                     [this](const RequestFeature& other) {
                       return CountUnsettled(other);
                     });
}

void CrashLedger::Suspend(const RequestFeature& feature, TimePoint now) {
  const Evidence crashes = UnsettledCrashes(feature);
  SuspectRequest& suspect = blocks_[feature].suspect_;
  suspect.feature_ = feature;
  suspect.crashes_ = static_cast<uint32_t>(crashes.size());
  suspect.last_crash_ = crashes.back()->at_;
  suspect.blocked_until_ = now;
  suspect.needs_trial_ = true;
  suspended_.push_back(WithServers(suspect, crashes));
}

SuspectRequest CrashLedger::SetBlock(const RequestFeature& feature,
                                     const Evidence& evidence,
                                     TimePoint now) {
  Block& block = blocks_[feature];
  SuspectRequest& suspect = block.suspect_;
  block.length_ = block.length_ == Duration()
                      ? FirstBlockTime(feature)
                      : std::min(kMaxBlockTime, block.length_ * 2);
  suspect.feature_ = feature;
  suspect.crashes_ =
      std::max(suspect.crashes_ + 1, static_cast<uint32_t>(evidence.size()));
  suspect.last_crash_ = evidence.back()->at_;
  suspect.blocked_until_ = now + block.length_;
  suspect.needs_trial_ = feature.kind_ == Kind::kPromptSegment;
  suspect.trial_gateway_.clear();
  return WithServers(suspect, evidence);
}

void CrashLedger::Adopt(const SuspectRequest& request, TimePoint now) {
  const RequestFeature& feature = request.feature_;
  const auto survived = survived_.find(feature);
  const bool has_survived = survived != survived_.end() &&
                            survived->second.at_ >= request.last_crash_;
  const bool has_block = request.IsBlocked(now) || request.needs_trial_;
  if (!has_block || has_survived || blocks_.count(feature) != 0 ||
      blocks_.size() >= kMaxListed) {
    return;
  }
  Block& block = blocks_[feature];
  block.suspect_ = request;
  block.suspect_.trial_gateway_.clear();
  const bool is_suspension =
      feature.kind_ == Kind::kContent && request.needs_trial_;
  block.length_ = is_suspension ? Duration() : FirstBlockTime(feature);
  ++number_;
}

}  // namespace citronlane
