#include "citronlane/routing/crash_ledger.h"

#include <algorithm>
#include <iterator>

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
/// Crashes closer together may have one common cause.
constexpr Duration kIndependentDelay = std::chrono::milliseconds(500);
constexpr Duration kEvidenceRetention = std::chrono::minutes(10);
/// First block. Each trial after a block costs one server and what it runs; a
/// false block of a segment costs all requests that have it.
constexpr Duration kBlockTime = std::chrono::minutes(5);
constexpr Duration kSegmentBlockTime = std::chrono::seconds(30);
constexpr Duration kMaxBlockTime = std::chrono::hours(1);
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxSurvived = 1024;

// Crashes after which a feature is listed, so that gateways report when a
// server survives it.
size_t ListedCrashes(const RequestFeature& feature) {
  return feature.kind_ == Kind::kContent ? kBlockingCrashes - 1 : 1;
}

Duration FirstBlockTime(const RequestFeature& feature) {
  return feature.kind_ == Kind::kContent ? kBlockTime : kSegmentBlockTime;
}

bool Contains(const std::vector<uint64_t>& numbers, uint64_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

// The content of the request first.
std::vector<RequestFeature> FeaturesOf(const RequestFingerprint& request) {
  std::vector<RequestFeature> features{ContentFeature(request)};
  for (const std::string& segment : request.segments_) {
    features.push_back(SegmentFeature(segment));
  }
  return features;
}

// Those of all requests of the crash, each once.
std::set<RequestFeature> FeaturesOf(const ServerCrash& crash) {
  std::set<RequestFeature> features;
  for (const RequestFingerprint& request : crash.running_) {
    const auto own = FeaturesOf(request);
    features.insert(own.begin(), own.end());
  }
  return features;
}

size_t CountSegments(const ServerCrash& crash) {
  size_t count = 0;
  for (const RequestFingerprint& request : crash.running_) {
    count += request.segments_.size();
  }
  return count;
}

// Sorts the crashes by time and keeps one of those close together.
void KeepIndependent(std::vector<const ServerCrash*>* crashes) {
  std::sort(crashes->begin(), crashes->end(),
            [](const ServerCrash* a, const ServerCrash* b) {
              return a->at_ < b->at_;
            });
  const ServerCrash* last = nullptr;
  const auto is_joint = [&last](const ServerCrash* crash) {
    if (last != nullptr && crash->at_ - last->at_ < kIndependentDelay) {
      return true;
    }
    last = crash;
    return false;
  };
  crashes->erase(std::remove_if(crashes->begin(), crashes->end(), is_joint),
                 crashes->end());
}

}  // namespace

std::vector<SuspectRequest> CrashLedger::OnCrash(const ServerCrash& crash,
                                                 TimePoint now) {
  Expire(now);
  Merge(crash);
  std::vector<SuspectRequest> blocked;
  bool has_listed = false;
  for (const RequestFeature& feature : FeaturesOf(crash)) {
    const Evidence evidence = EvidenceAgainst(feature);
    has_listed = has_listed || evidence.size() >= ListedCrashes(feature);
    if (const auto block = blocks_.find(feature); block != blocks_.end()) {
      block->second.last_crash_ =
          std::max(block->second.last_crash_, crash.at_);
    }
    if (MustBlock(feature, evidence)) {
      blocked.push_back(SetBlock(feature, evidence, now));
    }
  }
  number_ += has_listed || !blocked.empty() ? 1 : 0;
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
    const auto known_content = crashes_of_.find(ContentFeature(request));
    const bool is_known = known_content != crashes_of_.end() &&
                          Contains(known_content->second, number);
    if (merged.running_.size() >= kMaxRunning || is_known) {
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
    const bool is_old = now - it->second.until_ > kEvidenceRetention;
    it = is_old ? blocks_.erase(it) : std::next(it);
  }
  for (auto it = survived_.begin(); it != survived_.end();) {
    const bool is_old = now - it->second.at_ > kEvidenceRetention;
    it = is_old ? survived_.erase(it) : std::next(it);
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

CrashLedger::Evidence CrashLedger::EvidenceAgainst(
    const RequestFeature& feature) const {
  Evidence evidence;
  const auto numbers = crashes_of_.find(feature);
  if (numbers == crashes_of_.end()) {
    return evidence;
  }
  const auto survived = survived_.find(feature);
  for (const uint64_t number : numbers->second) {
    const ServerCrash& crash = crashes_.at(number);
    const bool is_later =
        survived == survived_.end() || crash.at_ > survived->second.at_;
    if (is_later && !IsExplained(number, feature)) {
      evidence.push_back(&crash);
    }
  }
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
    return !(blocked == feature) && blocked.kind_ >= feature.kind_ &&
           numbers != crashes_of_.end() && Contains(numbers->second, crash);
  });
}

// A content need not be told apart from its own segments, since a block of it
// concerns fewer requests.
bool CrashLedger::Leads(const RequestFeature& feature,
                        size_t crashes,
                        const ServerCrash& crash) const {
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
  return std::all_of(others.begin(), others.end(),
                     [&](const RequestFeature& other) {
                       return EvidenceAgainst(other).size() < crashes;
                     });
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
    if (it->second.at_ >= since && !Contains(own, it->first)) {
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
  return !evidence.empty() && evidence.back()->at_ > block->second.until_;
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
  const auto leading = std::count_if(
      evidence.begin(), evidence.end(), [&](const ServerCrash* crash) {
        return Leads(feature, evidence.size(), *crash);
      });
  return static_cast<size_t>(leading) >= kMinLeadingCrashes;
}

SuspectRequest CrashLedger::SetBlock(const RequestFeature& feature,
                                     const Evidence& evidence,
                                     TimePoint now) {
  Block& block = blocks_[feature];
  block.feature_ = feature;
  block.crashes_ =
      std::max(block.crashes_ + 1, static_cast<uint32_t>(evidence.size()));
  block.length_ = block.length_ == Duration()
                      ? FirstBlockTime(feature)
                      : std::min(kMaxBlockTime, block.length_ * 2);
  block.last_crash_ = evidence.back()->at_;
  block.until_ = now + block.length_;
  block.trial_gateway_.clear();
  SuspectRequest blocked;
  blocked.feature_ = feature;
  blocked.crashes_ = block.crashes_;
  blocked.last_crash_ = block.last_crash_;
  blocked.blocked_until_ = block.until_;
  for (const ServerCrash* crash : evidence) {
    blocked.servers_.push_back(crash->server_);
  }
  return blocked;
}

CrashLedger::Cleared CrashLedger::OnSurvived(const RequestFeature& feature,
                                             TimePoint at) {
  const size_t crashes = EvidenceAgainst(feature).size();
  if (survived_.size() < kMaxSurvived || survived_.count(feature) != 0) {
    Survival& last = survived_[feature];
    last = {feature, std::max(last.at_, at)};
  }
  if (const auto block = blocks_.find(feature); block != blocks_.end()) {
    if (at < block->second.last_crash_) {
      return Cleared::kNothing;
    }
    blocks_.erase(block);
    ++number_;
    return Cleared::kBlock;
  }
  const size_t listed = ListedCrashes(feature);
  if (crashes < listed || EvidenceAgainst(feature).size() >= listed) {
    return Cleared::kNothing;
  }
  // The next crash under it adds it again.
  listable_.erase(feature);
  ++number_;
  return Cleared::kSuspicion;
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
  block.feature_ = feature;
  block.crashes_ = request.crashes_;
  block.last_crash_ = request.last_crash_;
  block.until_ = request.blocked_until_;
  block.length_ = FirstBlockTime(feature);
  ++number_;
}

bool CrashLedger::GrantTrial(std::string_view segment,
                             std::string_view gateway,
                             TimePoint now) {
  const auto found = blocks_.find(SegmentFeature(segment));
  if (found == blocks_.end() || now < found->second.until_ ||
      now < found->second.trial_until_) {
    return false;
  }
  found->second.trial_gateway_ = gateway;
  found->second.trial_until_ = now + kTrialTime;
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
  ++number_;
}

std::vector<SuspectRequest> CrashLedger::Listed() const {
  std::vector<SuspectRequest> listed;
  for (const RequestFeature& feature : listable_) {
    const Evidence evidence = EvidenceAgainst(feature);
    if (blocks_.count(feature) == 0 &&
        evidence.size() >= ListedCrashes(feature)) {
      SuspectRequest suspect;
      suspect.feature_ = feature;
      suspect.crashes_ = static_cast<uint32_t>(evidence.size());
      suspect.last_crash_ = evidence.back()->at_;
      listed.push_back(std::move(suspect));
    }
  }
  std::stable_sort(listed.begin(), listed.end(),
                   [](const SuspectRequest& a, const SuspectRequest& b) {
                     return a.crashes_ > b.crashes_;
                   });
  for (const auto& [feature, block] : blocks_) {
    SuspectRequest suspect;
    suspect.feature_ = feature;
    suspect.crashes_ = block.crashes_;
    suspect.last_crash_ = block.last_crash_;
    suspect.blocked_until_ = block.until_;
    suspect.needs_trial_ = feature.kind_ == Kind::kPromptSegment;
    suspect.trial_gateway_ = block.trial_gateway_;
    listed.insert(listed.begin(), std::move(suspect));
  }
  listed.resize(std::min(listed.size(), kMaxListed));
  return listed;
}

bool CrashLedger::IsBlocked(const RequestFeature& feature,
                            TimePoint now) const {
  const auto block = blocks_.find(feature);
  return block != blocks_.end() && now < block->second.until_;
}

bool CrashLedger::IsSuspected(const RequestFeature& feature) const {
  return crashes_of_.count(feature) != 0 && !EvidenceAgainst(feature).empty();
}

size_t CrashLedger::CountBlocked(TimePoint now) const {
  return static_cast<size_t>(std::count_if(
      blocks_.begin(), blocks_.end(),
      [now](const auto& entry) { return now < entry.second.until_; }));
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
