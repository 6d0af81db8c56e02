#include "citronlane/routing/crash_ledger.h"

#include <algorithm>
#include <iterator>

namespace citronlane {
namespace {

/// Crashes in a row after which a request is blocked.
constexpr size_t kBlockingCrashes = 3;
/// While servers crash without the request too, one that is sent again after
/// each crash may meet three by chance; then one more is needed. So many other
/// crashes within kBackgroundTime count as that.
constexpr size_t kBackgroundCrashes = 3;
constexpr Duration kBackgroundTime = std::chrono::minutes(1);
/// Crashes that the request must explain better than those beside it.
constexpr size_t kMinLeadingCrashes = 2;
/// Blocked whatever ran beside it: two such requests that always run together
/// cannot be told apart.
constexpr size_t kCertainCrashes = 6;
/// Requests with so many crashes are listed, so that gateways report when a
/// server survives them.
constexpr size_t kListedCrashes = kBlockingCrashes - 1;
/// Crashes closer together may have one common cause.
constexpr Duration kIndependentDelay = std::chrono::milliseconds(500);
constexpr Duration kEvidenceRetention = std::chrono::minutes(10);
/// First block. Each trial after a block costs one server and what it runs.
constexpr Duration kBlockTime = std::chrono::minutes(5);
constexpr Duration kMaxBlockTime = std::chrono::hours(1);
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxSurvived = 1024;

bool Contains(const std::vector<uint64_t>& numbers, uint64_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
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
  for (const RequestFingerprint& request : crash.running_) {
    const Evidence evidence = EvidenceAgainst(request.digest_);
    has_listed = has_listed || evidence.size() >= kListedCrashes;
    if (const auto block = blocks_.find(request.digest_);
        block != blocks_.end()) {
      block->second.last_crash_ =
          std::max(block->second.last_crash_, crash.at_);
    }
    if (MustBlock(request.digest_, evidence)) {
      blocked.push_back(SetBlock(request, evidence, now));
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
  for (const RequestFingerprint& request : crash.running_) {
    auto& numbers = crashes_of_request_[request.digest_];
    if (merged.running_.size() >= kMaxRunning || Contains(numbers, number)) {
      continue;
    }
    merged.running_.push_back(request);
    numbers.push_back(number);
    if (numbers.size() > 1) {
      repeated_.insert(request.digest_);
    }
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
  for (const RequestFingerprint& request : forgotten->second.running_) {
    const auto numbers = crashes_of_request_.find(request.digest_);
    numbers->second.erase(
        std::remove(numbers->second.begin(), numbers->second.end(), crash),
        numbers->second.end());
    if (numbers->second.size() < 2) {
      repeated_.erase(request.digest_);
    }
    if (numbers->second.empty()) {
      crashes_of_request_.erase(numbers);
    }
  }
  crash_of_server_.erase(forgotten->second.server_);
  crashes_.erase(forgotten);
}

CrashLedger::Evidence CrashLedger::EvidenceAgainst(
    const std::string& digest) const {
  Evidence evidence;
  const auto numbers = crashes_of_request_.find(digest);
  if (numbers == crashes_of_request_.end()) {
    return evidence;
  }
  const auto survived = survived_.find(digest);
  for (const uint64_t number : numbers->second) {
    const ServerCrash& crash = crashes_.at(number);
    const bool is_later =
        survived == survived_.end() || crash.at_ > survived->second.at_;
    if (is_later && !IsExplained(number, digest)) {
      evidence.push_back(&crash);
    }
  }
  KeepIndependent(&evidence);
  return evidence;
}

bool CrashLedger::IsExplained(uint64_t crash, const std::string& digest) const {
  return std::any_of(blocks_.begin(), blocks_.end(), [&](const auto& entry) {
    const auto numbers = crashes_of_request_.find(entry.first);
    return entry.first != digest && numbers != crashes_of_request_.end() &&
           Contains(numbers->second, crash);
  });
}

bool CrashLedger::Leads(const std::string& digest,
                        size_t crashes,
                        const ServerCrash& crash) const {
  return std::all_of(crash.running_.begin(), crash.running_.end(),
                     [&](const RequestFingerprint& other) {
                       return other.digest_ == digest ||
                              EvidenceAgainst(other.digest_).size() < crashes;
                     });
}

bool CrashLedger::HasBackground(const std::string& digest,
                                const Evidence& evidence) const {
  if (evidence.empty()) {
    return false;
  }
  const TimePoint since = evidence.back()->at_ - kBackgroundTime;
  const auto& own = crashes_of_request_.at(digest);
  Evidence others;
  for (auto it = crashes_.rbegin(); it != crashes_.rend(); ++it) {
    if (it->second.at_ >= since && !Contains(own, it->first)) {
      others.push_back(&it->second);
    }
  }
  KeepIndependent(&others);
  return others.size() >= kBackgroundCrashes;
}

bool CrashLedger::MustBlock(const std::string& digest,
                            const Evidence& evidence) const {
  if (const auto block = blocks_.find(digest); block != blocks_.end()) {
    return !evidence.empty() && evidence.back()->at_ > block->second.until_;
  }
  if (evidence.size() >= kCertainCrashes) {
    return true;
  }
  if (evidence.size() < kBlockingCrashes ||
      (evidence.size() == kBlockingCrashes &&
       HasBackground(digest, evidence))) {
    return false;
  }
  const auto leading = std::count_if(
      evidence.begin(), evidence.end(), [&](const ServerCrash* crash) {
        return Leads(digest, evidence.size(), *crash);
      });
  return static_cast<size_t>(leading) >= kMinLeadingCrashes;
}

SuspectRequest CrashLedger::SetBlock(const RequestFingerprint& request,
                                     const Evidence& evidence,
                                     TimePoint now) {
  Block& block = blocks_[request.digest_];
  block.fingerprint_ = request;
  block.crashes_ =
      std::max(block.crashes_ + 1, static_cast<uint32_t>(evidence.size()));
  block.length_ = block.length_ == Duration()
                      ? kBlockTime
                      : std::min(kMaxBlockTime, block.length_ * 2);
  block.last_crash_ = evidence.back()->at_;
  block.until_ = now + block.length_;
  SuspectRequest blocked{
      request, block.crashes_, block.last_crash_, block.until_, {}};
  for (const ServerCrash* crash : evidence) {
    blocked.servers_.push_back(crash->server_);
  }
  return blocked;
}

bool CrashLedger::OnSurvived(const RequestFingerprint& request, TimePoint at) {
  const std::string& digest = request.digest_;
  const size_t crashes = EvidenceAgainst(digest).size();
  if (survived_.size() < kMaxSurvived || survived_.count(digest) != 0) {
    Survival& last = survived_[digest];
    last = {request, std::max(last.at_, at)};
  }
  if (const auto block = blocks_.find(digest); block != blocks_.end()) {
    if (at < block->second.last_crash_) {
      return false;
    }
    blocks_.erase(block);
    ++number_;
    return true;
  }
  const bool is_cleared = crashes >= kListedCrashes &&
                          EvidenceAgainst(digest).size() < kListedCrashes;
  number_ += is_cleared ? 1 : 0;
  return is_cleared;
}

void CrashLedger::Adopt(const SuspectRequest& request, TimePoint now) {
  const std::string& digest = request.fingerprint_.digest_;
  const auto survived = survived_.find(digest);
  const bool has_survived = survived != survived_.end() &&
                            survived->second.at_ >= request.last_crash_;
  if (!request.IsBlocked(now) || has_survived || blocks_.count(digest) != 0 ||
      blocks_.size() >= kMaxListed) {
    return;
  }
  blocks_[digest] = {request.fingerprint_, request.crashes_,
                     request.last_crash_, request.blocked_until_, kBlockTime};
  ++number_;
}

void CrashLedger::Clear() {
  crashes_.clear();
  crash_of_server_.clear();
  crashes_of_request_.clear();
  repeated_.clear();
  blocks_.clear();
  survived_.clear();
  ++number_;
}

std::vector<SuspectRequest> CrashLedger::Listed() const {
  std::vector<SuspectRequest> listed;
  for (const std::string& digest : repeated_) {
    const Evidence evidence = EvidenceAgainst(digest);
    if (blocks_.count(digest) == 0 && evidence.size() >= kListedCrashes) {
      const auto& running = evidence.front()->running_;
      const auto request = std::find_if(
          running.begin(), running.end(),
          [&](const RequestFingerprint& r) { return r.digest_ == digest; });
      listed.push_back({*request,
                        static_cast<uint32_t>(evidence.size()),
                        evidence.back()->at_,
                        TimePoint(),
                        {}});
    }
  }
  std::stable_sort(listed.begin(), listed.end(),
                   [](const SuspectRequest& a, const SuspectRequest& b) {
                     return a.crashes_ > b.crashes_;
                   });
  for (const auto& [digest, block] : blocks_) {
    listed.insert(listed.begin(), {block.fingerprint_,
                                   block.crashes_,
                                   block.last_crash_,
                                   block.until_,
                                   {}});
  }
  listed.resize(std::min(listed.size(), kMaxListed));
  return listed;
}

bool CrashLedger::IsBlocked(const RequestFingerprint& request,
                            TimePoint now) const {
  const auto block = blocks_.find(request.digest_);
  return block != blocks_.end() && now < block->second.until_;
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
