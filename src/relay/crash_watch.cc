#include "citronlane/relay/crash_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_join.h"
#include "citronlane/net/crash_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/routing/crash_features.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

/// Servers examined at a time.
constexpr size_t kMaxProbes = 64;
/// Servers remembered as ended.
constexpr size_t kMaxEnded = 128;
/// Crashes that a new leader is told of.
constexpr size_t kMaxReported = 32;
/// Pause between two questions for a trial.
constexpr Duration kTrialQuestionPause = std::chrono::milliseconds(100);

// The ids of the segments of the crash, for the log.
std::string SegmentsOf(const ServerCrash& crash) {
  std::vector<std::string> ids;
  for (const RequestFeature& feature : FeaturesOf(crash)) {
    if (feature.kind_ == RequestFeature::Kind::kPromptSegment) {
      ids.push_back(feature.id_);
    }
  }
  return absl::StrJoin(ids, " ");
}

}  // namespace

CrashWatch::CrashWatch(EventLog* log, Hooks hooks)
    : log_(log), hooks_(std::move(hooks)) {}

const SuspectRequest* CrashWatch::FindListed(
    uint64_t body_bytes,
    const FingerprintHook& fingerprint) const {
  const auto has_size = [body_bytes](const SuspectRequest& listed) {
    return listed.feature_.kind_ == RequestFeature::Kind::kContent &&
           listed.feature_.body_bytes_ == body_bytes;
  };
  if (std::none_of(listed_.begin(), listed_.end(), has_size)) {
    return nullptr;
  }
  return FindListed(ContentFeature(fingerprint()));
}

const SuspectRequest* CrashWatch::FindListed(
    const RequestFeature& feature) const {
  const auto found = std::find_if(listed_.begin(), listed_.end(),
                                  [&feature](const SuspectRequest& listed) {
                                    return listed.feature_ == feature;
                                  });
  return found == listed_.end() ? nullptr : &*found;
}

bool CrashWatch::IsBlocked(uint64_t body_bytes,
                           const FingerprintHook& fingerprint) const {
  const TimePoint now = hooks_.now_();
  const SuspectRequest* listed = FindListed(body_bytes, fingerprint);
  if (listed != nullptr && listed->IsBlocked(now)) {
    return true;
  }
  // Of the other gateways' crashes and survivals only the leader knows.
  return !hooks_.has_leader_() && own_.CountBlocked(now) > 0 &&
         own_.IsBlocked(ContentFeature(fingerprint()), now);
}

std::string CrashWatch::BlockedSegment(absl::Span<const std::string> segments,
                                       bool is_call) {
  const auto blocked = std::find_if(segments.begin(), segments.end(),
                                    [&](const std::string& segment) {
                                      return IsSegmentBlocked(segment, is_call);
                                    });
  return blocked == segments.end() ? std::string() : *blocked;
}

bool CrashWatch::IsSegmentBlocked(const std::string& segment, bool is_call) {
  const TimePoint now = hooks_.now_();
  const RequestFeature feature = SegmentFeature(segment);
  const SuspectRequest* listed = FindListed(feature);
  if (listed != nullptr && listed->IsBlocked(now)) {
    return true;
  }
  // Of the other gateways' crashes and survivals only the leader knows.
  if (!hooks_.has_leader_() && own_.IsBlocked(feature, now)) {
    return true;
  }
  return listed != nullptr && listed->needs_trial_ &&
         !TakeTrial(*listed, is_call);
}

CrashWatch::Pass CrashWatch::PassOf(uint64_t body_bytes,
                                    const FingerprintHook& fingerprint,
                                    bool is_call) {
  const SuspectRequest* listed = FindListed(body_bytes, fingerprint);
  if (listed != nullptr && listed->needs_trial_ &&
      !listed->IsBlocked(hooks_.now_())) {
    return TakeTrial(*listed, is_call) ? Pass::kTrial : Pass::kWait;
  }
  if (hooks_.has_leader_() || !own_.HasTrials()) {
    return Pass::kFree;
  }
  return OwnPassOf(ContentFeature(fingerprint()), is_call);
}

// Without a leader no gateway hears of the others' trials, so each makes its
// own.
CrashWatch::Pass CrashWatch::OwnPassOf(const RequestFeature& feature,
                                       bool is_call) {
  const TimePoint now = hooks_.now_();
  if (!own_.NeedsTrial(feature, now)) {
    return Pass::kFree;
  }
  if (!is_call) {
    return Pass::kTrial;
  }
  return own_.GrantTrial(feature, hooks_.gateway_, now) ? Pass::kTrial
                                                        : Pass::kWait;
}

bool CrashWatch::TakeTrial(const SuspectRequest& listed, bool is_call) {
  const RequestFeature& feature = listed.feature_;
  const auto tried = tried_.find(feature);
  const bool is_used =
      tried != tried_.end() && tried->second.trial_ == listed.trial_;
  const bool may_try = listed.trial_gateway_ == hooks_.gateway_ && !is_used;
  if (!may_try) {
    AskForTrial(feature);
  } else if (is_call) {
    tried_[feature] = {hooks_.now_(), listed.trial_};
    log_->Write("relay", "trial request sent",
                {{"content", feature.id_}, {"kind", ToString(feature.kind_)}});
  }
  return may_try;
}

void CrashWatch::ReturnTrial(const RequestFingerprint& request) {
  tried_.erase(ContentFeature(request));
}

void CrashWatch::AskForTrial(const RequestFeature& feature) {
  const TimePoint now = hooks_.now_();
  if (now - last_trial_question_ < kTrialQuestionPause) {
    return;
  }
  last_trial_question_ = now;
  wire::fleet::CrashReports reports;
  EncodeTrial(feature, hooks_.gateway_, &reports);
  hooks_.send_(reports);
}

void CrashWatch::OnBroken(const std::string& server,
                          const std::string& address,
                          const RequestFingerprint& request) {
  const auto ended = std::find_if(
      ended_.begin(), ended_.end(),
      [&server](const auto& entry) { return entry.first == server; });
  if (ended != ended_.end()) {
    Report({server, ended->second, {request}});
    return;
  }
  const auto probe = probes_.find(server);
  if (probe != probes_.end()) {
    if (probe->second.running_.size() < CrashLedger::kMaxRunning) {
      probe->second.running_.push_back(request);
    }
    return;
  }
  if (probes_.size() >= kMaxProbes) {
    log_->Write("relay", "crash not examined",
                {{"server", server}, {"content", request.digest_}});
    return;
  }
  probes_[server] = {hooks_.now_(), {request}};
  hooks_.probe_(address, [this, server](bool is_refused) {
    OnProbed(server, is_refused);
  });
}

void CrashWatch::OnProbed(const std::string& server, bool is_refused) {
  auto probe = probes_.extract(server);
  if (!is_refused) {
    return;
  }
  const TimePoint at = probe.mapped().since_;
  RememberEnded(server, at);
  Report({server, at, std::move(probe.mapped().running_)});
}

void CrashWatch::RememberEnded(const std::string& server, TimePoint at) {
  ended_.emplace_back(server, at);
  if (ended_.size() > kMaxEnded) {
    ended_.pop_front();
  }
}

void CrashWatch::Report(const ServerCrash& crash) {
  const TimePoint now = hooks_.now_();
  own_.OnCrash(crash, now);
  log_->Write("relay", "server ended",
              {{"server", crash.server_},
               {"running", static_cast<uint64_t>(crash.running_.size())},
               {"first_content", crash.running_.front().digest_},
               {"segments", SegmentsOf(crash)},
               {"age_ms", now - crash.at_}});
  wire::fleet::CrashReports reports;
  EncodeCrash(crash, now, reports.add_crashes());
  hooks_.send_(reports);
}

void CrashWatch::OnSurvived(uint64_t body_bytes,
                            const FingerprintHook& fingerprint) {
  if (FindListed(body_bytes, fingerprint) == nullptr) {
    return;
  }
  ReportSurvival(ContentFeature(fingerprint()));
}

// The leader is told once after each crash under the segment: many requests may
// have it.
void CrashWatch::OnSegmentsSurvived(absl::Span<const std::string> segments) {
  for (const std::string& segment : segments) {
    const RequestFeature feature = SegmentFeature(segment);
    const SuspectRequest* listed = FindListed(feature);
    if (listed == nullptr && !own_.IsSuspected(feature)) {
      continue;
    }
    const auto last = own_.survived().find(feature);
    const bool is_told = listed != nullptr && !listed->needs_trial_ &&
                         last != own_.survived().end() &&
                         last->second.at_ > listed->last_crash_ &&
                         !own_.IsSuspected(feature);
    if (!is_told) {
      ReportSurvival(feature);
    }
  }
}

void CrashWatch::ReportSurvival(const RequestFeature& feature) {
  const TimePoint now = hooks_.now_();
  own_.OnSurvived(feature, now);
  log_->Write("relay", "server survived a suspect request",
              {{"content", feature.id_}, {"kind", ToString(feature.kind_)}});
  wire::fleet::CrashReports reports;
  EncodeSurvival({feature, now}, now, reports.add_survivals());
  hooks_.send_(reports);
}

void CrashWatch::Take(const wire::fleet::SuspectRequests& suspects) {
  listed_ = DecodeSuspects(suspects, hooks_.now_());
  ForgetEndedTrials();
  if (suspects.cleared()) {
    own_.Clear();
  }
  log_->Write("relay", "suspect requests changed",
              {{"requests", static_cast<uint64_t>(listed_.size())},
               {"blocked", static_cast<uint64_t>(CountBlocked())}});
}

// A trial may be allowed again once another gateway had its turn, after another
// block, or when a trial without a result is over.
void CrashWatch::ForgetEndedTrials() {
  const TimePoint now = hooks_.now_();
  for (auto it = tried_.begin(); it != tried_.end();) {
    const SuspectRequest* listed = FindListed(it->first);
    const bool is_open =
        listed != nullptr && listed->trial_gateway_ == hooks_.gateway_ &&
        now - it->second.at_ < CrashLedger::TrialTime(it->first);
    it = is_open ? std::next(it) : tried_.erase(it);
  }
}

void CrashWatch::ReportAll() {
  const TimePoint now = hooks_.now_();
  wire::fleet::CrashReports reports;
  for (const ServerCrash& crash : own_.RecentCrashes(kMaxReported)) {
    EncodeCrash(crash, now, reports.add_crashes());
  }
  for (const auto& [feature, survival] : own_.survived()) {
    EncodeSurvival(survival, now, reports.add_survivals());
  }
  if (!listed_.empty()) {
    EncodeSuspects(listed_, now, reports.mutable_suspects());
  }
  if (reports.ByteSizeLong() > 0) {
    hooks_.send_(reports);
  }
}

size_t CrashWatch::CountBlocked() const {
  const TimePoint now = hooks_.now_();
  return static_cast<size_t>(std::count_if(
      listed_.begin(), listed_.end(),
      [now](const SuspectRequest& request) { return request.IsBlocked(now); }));
}

}  // namespace citronlane
