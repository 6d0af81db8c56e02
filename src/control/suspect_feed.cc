#include "citronlane/control/suspect_feed.h"

#include <optional>
#include <string>

#include "absl/strings/str_join.h"
#include "citronlane/net/crash_codec.h"
#include "citronlane/observe/event_log.h"
#include "fleet.pb.h"

namespace citronlane {

SuspectFeed::SuspectFeed(EventLog* log) : log_(log) {}

bool SuspectFeed::Take(const wire::fleet::CrashReports& reports,
                       TimePoint now) {
  bool has_changed_blocks = false;
  for (const auto& report : reports.survivals()) {
    const CrashLedger::Survival survival = DecodeSurvival(report, now);
    const auto cleared = crashes_.OnSurvived(survival.feature_, survival.at_);
    has_changed_blocks |= cleared == CrashLedger::Cleared::kBlock ||
                          cleared == CrashLedger::Cleared::kTrial;
    if (cleared != CrashLedger::Cleared::kNothing) {
      log_->Write("control", "request survived",
                  {{"content", survival.feature_.id_},
                   {"kind", ToString(survival.feature_.kind_)},
                   {"age_ms", now - survival.at_}});
    }
  }
  for (const SuspectRequest& suspect :
       DecodeSuspects(reports.suspects(), now)) {
    crashes_.Adopt(suspect, now);
  }
  for (const auto& crash : reports.crashes()) {
    for (const SuspectRequest& blocked :
         crashes_.OnCrash(DecodeCrash(crash, now), now)) {
      has_changed_blocks = true;
      LogBlocked(blocked, now);
    }
    for (const SuspectRequest& suspended : crashes_.suspended()) {
      has_changed_blocks = true;
      LogBlocked(suspended, now);
    }
  }
  const std::optional<RequestFeature> trial = DecodeTrial(reports);
  if (trial && crashes_.GrantTrial(*trial, reports.gateway(), now)) {
    has_changed_blocks = true;
    log_->Write("control", "trial request granted",
                {{"content", trial->id_},
                 {"kind", ToString(trial->kind_)},
                 {"gateway", reports.gateway()}});
  }
  return has_changed_blocks;
}

void SuspectFeed::Clear(TimePoint now) {
  log_->Write("control", "suspect requests cleared",
              {{"requests", static_cast<uint64_t>(Listed().size())},
               {"blocked", static_cast<uint64_t>(CountBlocked(now))}});
  crashes_.Clear();
  cleared_number_ = crashes_.number();
}

void SuspectFeed::StartLeading() {
  crashes_.Clear();
  cleared_number_ = 0;
}

uint64_t SuspectFeed::AddTo(uint64_t sent,
                            TimePoint now,
                            wire::fleet::WatchUpdate* update) const {
  if (sent != crashes_.number()) {
    update->mutable_suspects()->set_cleared(sent < cleared_number_);
    EncodeSuspects(Listed(), now, update->mutable_suspects());
  }
  return crashes_.number();
}

// Building the list costs more than encoding it, and each gateway gets it.
const std::vector<SuspectRequest>& SuspectFeed::Listed() const {
  if (listed_number_ != crashes_.number()) {
    listed_number_ = crashes_.number();
    listed_ = crashes_.Listed();
  }
  return listed_;
}

void SuspectFeed::LogBlocked(const SuspectRequest& request, TimePoint now) {
  const bool is_suspended = !request.IsBlocked(now);
  log_->Write("control", is_suspended ? "request suspended" : "request blocked",
              {{"content", request.feature_.id_},
               {"kind", ToString(request.feature_.kind_)},
               {"body_bytes", request.feature_.body_bytes_},
               {"crashes", request.crashes_},
               {"servers", absl::StrJoin(request.servers_, " ")},
               {"for_ms", request.blocked_until_ - now}});
}

}  // namespace citronlane
