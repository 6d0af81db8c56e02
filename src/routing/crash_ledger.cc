#include "citronlane/routing/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "citronlane/routing/crash_features.h"

namespace citronlane {
namespace {

using Kind = RequestFeature::Kind;

constexpr Duration kEvidenceRetention = std::chrono::minutes(10);
/// One crash more may block a content.
constexpr size_t kListedCrashes = 2;
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxSurvived = 1024;
/// Survivals kept of a content.
constexpr size_t kMaxSurvivals = 64;
/// Survivals since the last crash that end a suspension: some runs of a content
/// that crashes servers may end well.
constexpr uint32_t kReinstatingSurvivals = 2;
/// Trials that decide nothing, such as those that a faulty server fails, are
/// followed by longer pauses.
constexpr uint32_t kMaxTrialDoublings = 4;
constexpr Duration kContentTrialTime = std::chrono::seconds(2);
/// A gateway may get requests with a segment seldom.
constexpr Duration kSegmentTrialTime = std::chrono::seconds(5);

// Crashes after which a feature is listed, so that gateways report when a
// server survives it.
size_t ListedCrashes(const RequestFeature& feature) {
  return feature.kind_ == Kind::kContent ? kListedCrashes : 1;
}

bool Contains(const std::vector<uint64_t>& numbers, uint64_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

}  // namespace

std::vector<SuspectRequest> CrashLedger::OnCrash(const ServerCrash& crash,
                                                 TimePoint now) {
  Expire(now);
  Merge(crash);
  suspended_.clear();
  std::vector<SuspectRequest> blocked;
  bool has_listed = false;
  for (const RequestFeature& feature : FeaturesOf(crash)) {
    const Evidence evidence = EvidenceAgainst(feature);
    has_listed =
        has_listed || CountUnsettled(feature) >= ListedCrashes(feature);
    if (const auto block = blocks_.find(feature); block != blocks_.end()) {
      TimePoint& last = block->second.suspect_.last_crash_;
      if (last < crash.at_) {
        last = crash.at_;
        block->second.survivals_ = 0;
        block->second.open_trials_ = 0;
      }
    }
    if (MustBlock(feature, evidence)) {
      blocked.push_back(SetBlock(feature, evidence, now));
    } else if (MustSuspend(feature)) {
      Suspend(feature, now);
    }
  }
  const bool has_changed = DropExplainedSuspensions() || has_listed ||
                           !blocked.empty() || !suspended_.empty();
  number_ += has_changed ? 1 : 0;
  return blocked;
}

// Gateways report a crash one after the other, each with its own requests.
void CrashLedger::Merge(const ServerCrash& crash) {
  const auto [known, is_new] =
      crash_of_server_.try_emplace(crash.server_, last_crash_ + 1);
  const uint64_t number = known->second;
  if (is_new) {
    crashes_[++last_crash_] = {crash.server_, crash.at_, {}};
  }
  ServerCrash& merged = crashes_.at(number);
  merged.at_ = std::min(merged.at_, crash.at_);
  size_t segments = CountSegments(merged);
  for (const RequestFingerprint& request : crash.running_) {
    const auto known_request =
        std::find(merged.running_.begin(), merged.running_.end(), request);
    if (known_request != merged.running_.end()) {
      known_request->is_trial_ |= request.is_trial_;
      continue;
    }
    if (merged.running_.size() >= kMaxRunning) {
      continue;
    }
    merged.running_.push_back(request);
    segments += request.segments_.size();
    if (segments > kMaxSegments) {
      segments -= request.segments_.size();
      merged.running_.back().segments_.clear();
    }
    for (const RequestFeature& feature : FeaturesOf(merged.running_.back())) {
      AddFeature(feature, number);
    }
  }
}

void CrashLedger::AddFeature(const RequestFeature& feature, uint64_t crash) {
  auto& numbers = crashes_of_[feature];
  if (Contains(numbers, crash)) {
    return;
  }
  numbers.push_back(crash);
  if (numbers.size() >= ListedCrashes(feature)) {
    listable_.insert(feature);
  }
}

void CrashLedger::Expire(TimePoint now) {
  while (!crashes_.empty() &&
         (crashes_.size() >= kMaxCrashes ||
          now - crashes_.begin()->second.at_ > kEvidenceRetention)) {
    Forget(crashes_.begin()->first);
  }
  for (auto it = blocks_.begin(); it != blocks_.end();) {
    const bool is_old =
        now - it->second.suspect_.blocked_until_ > kEvidenceRetention;
    it = is_old ? blocks_.erase(it) : std::next(it);
  }
  for (auto it = survived_.begin(); it != survived_.end();) {
    const bool is_old = now - it->second.at_ > kEvidenceRetention;
    it = is_old ? survived_.erase(it) : std::next(it);
  }
  for (auto it = settled_.begin(); it != settled_.end();) {
    const bool is_old = now - it->second > kEvidenceRetention;
    it = is_old ? settled_.erase(it) : std::next(it);
  }
  for (auto it = survivals_.begin(); it != survivals_.end();) {
    const bool is_old = now - it->second.back() > kEvidenceRetention;
    it = is_old ? survivals_.erase(it) : std::next(it);
  }
}

void CrashLedger::Forget(uint64_t crash) {
  const auto forgotten = crashes_.find(crash);
  for (const RequestFeature& feature : FeaturesOf(forgotten->second)) {
    const auto numbers = crashes_of_.find(feature);
    numbers->second.erase(
        std::remove(numbers->second.begin(), numbers->second.end(), crash),
        numbers->second.end());
    if (numbers->second.size() < ListedCrashes(feature)) {
      listable_.erase(feature);
    }
    if (numbers->second.empty()) {
      crashes_of_.erase(numbers);
    }
  }
  crash_of_server_.erase(forgotten->second.server_);
  crashes_.erase(forgotten);
}

CrashLedger::Evidence CrashLedger::CrashesUnder(
    const RequestFeature& feature) const {
  const auto survived = survived_.find(feature);
  return CrashesSince(feature, survived == survived_.end()
                                   ? TimePoint::min()
                                   : survived->second.at_);
}

CrashLedger::Evidence CrashLedger::UnsettledCrashes(
    const RequestFeature& feature) const {
  if (feature.kind_ == Kind::kPromptSegment) {
    return CrashesUnder(feature);
  }
  const auto settled = settled_.find(feature);
  return CrashesSince(
      feature, settled == settled_.end() ? TimePoint::min() : settled->second);
}

size_t CrashLedger::CountUnsettled(const RequestFeature& feature) const {
  const Evidence crashes = UnsettledCrashes(feature);
  const auto found = survivals_.find(feature);
  if (found == survivals_.end()) {
    return crashes.size();
  }
  std::vector<TimePoint> survivals = found->second;
  std::sort(survivals.begin(), survivals.end());
  size_t count = 0;
  auto crash = crashes.begin();
  for (const TimePoint survival : survivals) {
    for (; crash != crashes.end() && (*crash)->at_ <= survival; ++crash) {
      ++count;
    }
    count -= std::min<size_t>(count, 1);
  }
  return count + static_cast<size_t>(crashes.end() - crash);
}

CrashLedger::Evidence CrashLedger::CrashesSince(const RequestFeature& feature,
                                                TimePoint since) const {
  Evidence evidence;
  const auto numbers = crashes_of_.find(feature);
  if (numbers == crashes_of_.end()) {
    return evidence;
  }
  for (const uint64_t number : numbers->second) {
    const ServerCrash& crash = crashes_.at(number);
    if (crash.at_ > since && !IsExplained(number, feature)) {
      evidence.push_back(&crash);
    }
  }
  std::sort(evidence.begin(), evidence.end(),
            [](const ServerCrash* a, const ServerCrash* b) {
              return a->at_ < b->at_;
            });
  return evidence;
}

CrashLedger::Evidence CrashLedger::EvidenceAgainst(
    const RequestFeature& feature) const {
  Evidence evidence = CrashesUnder(feature);
  KeepIndependent(&evidence);
  return evidence;
}

// A blocked content explains no crash for a segment: the same segment may crash
// servers with other contents, too.
bool CrashLedger::IsExplained(uint64_t crash,
                              const RequestFeature& feature) const {
  return std::any_of(blocks_.begin(), blocks_.end(), [&](const auto& entry) {
    const RequestFeature& blocked = entry.first;
    const auto numbers = crashes_of_.find(blocked);
    return !(blocked == feature) && !IsSuspended(blocked) &&
           blocked.kind_ >= feature.kind_ && numbers != crashes_of_.end() &&
           Contains(numbers->second, crash);
  });
}

void CrashLedger::NoteSurvival(const RequestFeature& feature, TimePoint at) {
  if (feature.kind_ == Kind::kPromptSegment ||
      UnsettledCrashes(feature).empty()) {
    return;
  }
  std::vector<TimePoint>& survivals = survivals_[feature];
  survivals.push_back(at);
  if (survivals.size() > kMaxSurvivals) {
    survivals.erase(survivals.begin());
  }
  const bool has_room =
      settled_.size() < kMaxSurvived || settled_.count(feature) != 0;
  if (has_room && CountUnsettled(feature) == 0) {
    settled_[feature] = *std::max_element(survivals.begin(), survivals.end());
    survivals_.erase(feature);
  }
}

CrashLedger::Cleared CrashLedger::OnSurvived(const RequestFeature& feature,
                                             TimePoint at) {
  const size_t crashes = CountUnsettled(feature);
  NoteSurvival(feature, at);
  if (survived_.size() < kMaxSurvived || survived_.count(feature) != 0) {
    Survival& last = survived_[feature];
    last = {feature, std::max(last.at_, at)};
  }
  if (const auto block = blocks_.find(feature); block != blocks_.end()) {
    if (at < block->second.suspect_.last_crash_) {
      return Cleared::kNothing;
    }
    if (IsSuspended(feature) &&
        ++block->second.survivals_ < kReinstatingSurvivals) {
      block->second.suspect_.trial_gateway_.clear();
      block->second.trial_until_ = TimePoint();
      block->second.open_trials_ = 0;
      ++number_;
      return Cleared::kTrial;
    }
    blocks_.erase(block);
    ++number_;
    return Cleared::kBlock;
  }
  const size_t listed = ListedCrashes(feature);
  if (crashes < listed || CountUnsettled(feature) >= listed) {
    return Cleared::kNothing;
  }
  // The next crash under it adds it again.
  listable_.erase(feature);
  ++number_;
  return Cleared::kSuspicion;
}

// A crash right after another one may have the same cause, so it would tell
// nothing about the trial.
bool CrashLedger::GrantTrial(const RequestFeature& feature,
                             std::string_view gateway,
                             TimePoint now) {
  const auto found = blocks_.find(feature);
  if (found == blocks_.end() || !NeedsTrial(feature, now) ||
      now < found->second.trial_until_ ||
      now - found->second.suspect_.last_crash_ < kIndependentDelay) {
    return false;
  }
  found->second.suspect_.trial_gateway_ = gateway;
  ++found->second.suspect_.trial_;
  const uint32_t doublings =
      std::min(found->second.open_trials_++, kMaxTrialDoublings);
  found->second.trial_until_ = now + TrialTime(feature) * (1 << doublings);
  ++number_;
  return true;
}

void CrashLedger::Clear() {
  crashes_.clear();
  crash_of_server_.clear();
  crashes_of_.clear();
  listable_.clear();
  blocks_.clear();
  survived_.clear();
  survivals_.clear();
  settled_.clear();
  ++number_;
}

std::vector<SuspectRequest> CrashLedger::Listed() const {
  std::vector<SuspectRequest> listed;
  for (const RequestFeature& feature : listable_) {
    const size_t crashes = CountUnsettled(feature);
    if (blocks_.count(feature) == 0 && crashes >= ListedCrashes(feature)) {
      SuspectRequest suspect;
      suspect.feature_ = feature;
      suspect.crashes_ = static_cast<uint32_t>(crashes);
      suspect.last_crash_ = UnsettledCrashes(feature).back()->at_;
      listed.push_back(std::move(suspect));
    }
  }
  std::stable_sort(listed.begin(), listed.end(),
                   [](const SuspectRequest& a, const SuspectRequest& b) {
                     return a.crashes_ > b.crashes_;
                   });
  for (const auto& [feature, block] : blocks_) {
    listed.insert(listed.begin(), block.suspect_);
  }
  listed.resize(std::min(listed.size(), kMaxListed));
  return listed;
}

bool CrashLedger::IsBlocked(const RequestFeature& feature,
                            TimePoint now) const {
  const auto block = blocks_.find(feature);
  return block != blocks_.end() && block->second.suspect_.IsBlocked(now);
}

Duration CrashLedger::TrialTime(const RequestFeature& feature) {
  return feature.kind_ == Kind::kContent ? kContentTrialTime
                                         : kSegmentTrialTime;
}

bool CrashLedger::NeedsTrial(const RequestFeature& feature,
                             TimePoint now) const {
  const auto block = blocks_.find(feature);
  return block != blocks_.end() && block->second.suspect_.needs_trial_ &&
         !block->second.suspect_.IsBlocked(now);
}

bool CrashLedger::IsSuspected(const RequestFeature& feature) const {
  return crashes_of_.count(feature) != 0 && !CrashesUnder(feature).empty();
}

size_t CrashLedger::CountBlocked(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(blocks_.begin(), blocks_.end(), [now](const auto& entry) {
        return entry.second.suspect_.IsBlocked(now);
      }));
}

std::vector<ServerCrash> CrashLedger::RecentCrashes(size_t most) const {
  std::vector<ServerCrash> recent;
  for (auto it = crashes_.rbegin();
       it != crashes_.rend() && recent.size() < most; ++it) {
    recent.push_back(it->second);
  }
  return recent;
}

}  // namespace citronlane
