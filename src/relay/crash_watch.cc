#include "citronlane/relay/crash_watch.h"

#include <algorithm>
#include <utility>

#include "citronlane/net/crash_codec.h"
#include "citronlane/observe/event_log.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

/// Servers examined at a time.
constexpr size_t kMaxProbes = 64;
/// Servers remembered as ended.
constexpr size_t kMaxEnded = 128;
/// Crashes that a new leader is told of.
constexpr size_t kMaxReported = 32;

}  // namespace

CrashWatch::CrashWatch(EventLog* log, Hooks hooks)
    : log_(log), hooks_(std::move(hooks)) {}

const SuspectRequest* CrashWatch::FindListed(
    uint64_t body_bytes,
    const FingerprintHook& fingerprint) const {
  const auto has_size = [body_bytes](const SuspectRequest& listed) {
    return listed.fingerprint_.body_bytes_ == body_bytes;
  };
  if (std::none_of(listed_.begin(), listed_.end(), has_size)) {
    return nullptr;
  }
  const RequestFingerprint& request = fingerprint();
  const auto found = std::find_if(listed_.begin(), listed_.end(),
                                  [&request](const SuspectRequest& listed) {
                                    return listed.fingerprint_ == request;
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
         own_.IsBlocked(fingerprint(), now);
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
  const TimePoint now = hooks_.now_();
  const RequestFingerprint& request = fingerprint();
  own_.OnSurvived(request, now);
  log_->Write("relay", "server survived a suspect request",
              {{"content", request.digest_}});
  wire::fleet::CrashReports reports;
  EncodeSurvival({request, now}, now, reports.add_survivals());
  hooks_.send_(reports);
}

void CrashWatch::Take(const wire::fleet::SuspectRequests& suspects) {
  listed_ = DecodeSuspects(suspects, hooks_.now_());
  if (suspects.cleared()) {
    own_.Clear();
  }
  log_->Write("relay", "suspect requests changed",
              {{"requests", static_cast<uint64_t>(listed_.size())},
               {"blocked", static_cast<uint64_t>(CountBlocked())}});
}

void CrashWatch::ReportAll() {
  const TimePoint now = hooks_.now_();
  wire::fleet::CrashReports reports;
  for (const ServerCrash& crash : own_.RecentCrashes(kMaxReported)) {
    EncodeCrash(crash, now, reports.add_crashes());
  }
  for (const auto& [digest, survival] : own_.survived()) {
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
