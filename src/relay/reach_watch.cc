#include "citronlane/relay/reach_watch.h"

#include <utility>

#include "citronlane/observe/event_log.h"

namespace citronlane {

ReachWatch::ReachWatch(ServerReach::RandomHook random,
                       EventLog* log,
                       Hooks hooks)
    : log_(log),
      hooks_(std::move(hooks)),
      reach_(std::move(random)),
      changed_at_(hooks_.now_()) {}

void ReachWatch::OnCallEnd(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kConnectFailed:
    case CallOutcome::kClosedAfterSend:
    case CallOutcome::kTimeout:
      reach_.OnFailure();
      Tick();
      break;
    default:
      break;
  }
}

void ReachWatch::Tick() {
  if (!reach_.IsRoundDue(hooks_.now_())) {
    return;
  }
  for (const std::string& address : reach_.StartRound(hooks_.addresses_())) {
    hooks_.probe_(address, [this, address](ServerReach::ProbeResult result) {
      OnProbed(address, result);
    });
  }
}

void ReachWatch::OnProbed(const std::string& address,
                          ServerReach::ProbeResult result) {
  const TimePoint now = hooks_.now_();
  if (reach_.OnProbed(address, result, now)) {
    log_->Write("gateway",
                is_cut_off() ? "cut off from servers" : "servers reached again",
                {{"servers", static_cast<uint64_t>(hooks_.addresses_().size())},
                 {"before_ms", now - changed_at_}});
    changed_at_ = now;
    hooks_.changed_();
  }
  Tick();
}

}  // namespace citronlane
