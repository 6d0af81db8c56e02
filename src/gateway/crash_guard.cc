#include "citronlane/gateway/crash_guard.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "control.pb.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

/// The leader replies to lease renewals and reports more often.
constexpr Duration kLeaderTimeout = std::chrono::seconds(4);

// Without the times, which differ in each reply.
std::string TextOf(const wire::fleet::SuspectRequests& suspects) {
  std::string text;
  for (const auto& suspect : suspects.requests()) {
    absl::StrAppend(&text, suspect.request().digest(), suspect.segment(), " ",
                    suspect.crashes(),
                    suspect.blocked_ms() > 0 ? " blocked\n" : "\n");
  }
  return text;
}

}  // namespace

CrashGuard::CrashGuard(std::string gateway, Hooks hooks)
    : hooks_(std::move(hooks)),
      log_(std::move(gateway), LineLog(hooks_.log_)),
      watch_(&log_, WatchHooks()) {}

// The hooks run while mutex_ is held, except what a probe calls later.
CrashWatch::Hooks CrashGuard::WatchHooks() {
  CrashWatch::Hooks hooks;
  hooks.send_ = hooks_.send_;
  hooks.has_leader_ = [this] { return hooks_.now_() < leader_until_; };
  hooks.probe_ = [this](const std::string& endpoint,
                        std::function<void(bool)> done) {
    hooks_.probe_(endpoint,
                  [this, endpoint, done = std::move(done)](bool is_refused) {
                    const std::lock_guard lock(mutex_);
                    if (is_refused) {
                      ended_.insert(endpoint);
                    }
                    done(is_refused);
                  });
  };
  hooks.now_ = hooks_.now_;
  return hooks;
}

bool CrashGuard::IsBlocked(uint64_t body_bytes,
                           const FingerprintHook& fingerprint) const {
  const std::lock_guard lock(mutex_);
  return watch_.IsBlocked(body_bytes, fingerprint);
}

void CrashGuard::OnBroken(const std::string& server,
                          const std::string& endpoint,
                          const RequestFingerprint& request) {
  const std::lock_guard lock(mutex_);
  const auto restarts = restarts_.find(endpoint);
  const uint64_t incarnation =
      restarts == restarts_.end() ? 0 : restarts->second;
  watch_.OnBroken(absl::StrCat(server, "#", incarnation), endpoint, request);
}

void CrashGuard::OnAlive(const std::string& endpoint) {
  const std::lock_guard lock(mutex_);
  if (!ended_.empty() && ended_.erase(endpoint) > 0) {
    ++restarts_[endpoint];
  }
}

void CrashGuard::OnSurvived(uint64_t body_bytes,
                            const FingerprintHook& fingerprint) {
  const std::lock_guard lock(mutex_);
  watch_.OnSurvived(body_bytes, fingerprint);
}

void CrashGuard::Take(const wire::SuspectList& list) {
  const std::lock_guard lock(mutex_);
  leader_until_ = hooks_.now_() + kLeaderTimeout;
  if (list.term() != term_) {
    term_ = list.term();
    watch_.ReportAll();
  }
  if (!list.has_requests()) {
    return;
  }
  std::string listed = TextOf(list.requests());
  if (listed != listed_) {
    listed_ = std::move(listed);
    watch_.Take(list.requests());
  }
}

}  // namespace citronlane
