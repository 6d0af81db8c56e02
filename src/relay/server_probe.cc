#include "citronlane/relay/server_probe.h"

#include <memory>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/server_call_spec.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/transport/stage_call_hooks.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {
namespace {

using ProbeResult = ServerReach::ProbeResult;

/// A server's report needs no slot and is made within milliseconds.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);

/// Returns the result of a probe that ended without the head of a reply.
ProbeResult ResultOf(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kConnectFailed:
    case CallOutcome::kClosedAfterSend:
    case CallOutcome::kCancelled:
      return ProbeResult::kFailed;
    case CallOutcome::kTimeout:
      return ProbeResult::kOpen;
    // Bytes arrived that are no reply.
    default:
      return ProbeResult::kReplied;
  }
}

}  // namespace

void ProbeServer(StageClient* client,
                 const std::string& address,
                 const std::string& target,
                 std::function<void(ServerReach::ProbeResult)> done) {
  StageCallSpec spec =
      SpecFor(address, "GET", target, SteadyNow() + kProbeTimeout);
  spec.fresh_connection_ = true;
  const auto report =
      std::make_shared<std::function<void(ProbeResult)>>(std::move(done));
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [report](const StageReplyHead&) {
    (*report)(ProbeResult::kReplied);
    return false;
  };
  hooks.done_ = [report](CallOutcome outcome, const std::string&) {
    (*report)(ResultOf(outcome));
  };
  client->Start(std::move(spec), std::move(hooks));
}

}  // namespace citronlane
