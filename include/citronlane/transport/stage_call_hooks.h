#ifndef CITRONLANE_TRANSPORT_STAGE_CALL_HOOKS_H_
#define CITRONLANE_TRANSPORT_STAGE_CALL_HOOKS_H_

#include <functional>
#include <string>
#include <string_view>

#include "citronlane/routing/call_outcome.h"
#include "citronlane/transport/reply_owner.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {

/// What a call tells its owner, on the thread of its client. None is called
/// after StageCall::Cancel. All must be set, but the `owner_` hooks, and
/// `data_` for calls that do not stream.
struct StageCallHooks {
  /// The next step hands the first byte to the socket. False stops the call.
  std::function<bool()> sending_;
  /// Whose a reply is, by its head. Optional: without it every reply is this
  /// call's.
  std::function<ReplyOwner(const StageReplyHead&)> owner_;
  /// The same by its whole body, where heads name no call. Optional; not for
  /// streams, and never kUnclear.
  std::function<ReplyOwner(const StageReplyHead&, std::string_view body)>
      owner_by_body_;
  /// The reply's head is there; called again after a reply that its body showed
  /// to be another call's. False stops the call.
  std::function<bool(const StageReplyHead&)> head_;
  /// A piece of a streamed body.
  std::function<void(std::string_view)> data_;
  /// The call is over; called once unless cancelled. kSuccess: the reply is
  /// whole, whatever its status. `body` is empty for streams.
  std::function<void(CallOutcome, std::string body)> done_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CALL_HOOKS_H_
