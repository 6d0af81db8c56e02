#ifndef CITRONLANE_TRANSPORT_STAGE_CALL_HOOKS_H_
#define CITRONLANE_TRANSPORT_STAGE_CALL_HOOKS_H_

#include <functional>
#include <string>
#include <string_view>

#include "citronlane/routing/call_outcome.h"
#include "citronlane/transport/reply_owner.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {

/// Hooks of one call of a StageClient, called on the client's thread and never
/// after StageCall::Cancel. owner_, owner_by_body_ and has_room_ are optional,
/// data_ is needed for streamed calls only; the others must be set.
struct StageCallHooks {
  /// Called right before the first byte is passed to the socket. Returning
  /// false ends the call without sending anything.
  std::function<bool()> sending_;
  /// Decides by its head which call a reply belongs to. Without it, every reply
  /// belongs to this call.
  std::function<ReplyOwner(const StageReplyHead&)> owner_;
  /// Decides the same by the complete body, for replies whose head names no
  /// call. Not used for streamed calls; must not return kUnclear.
  std::function<ReplyOwner(const StageReplyHead&, std::string_view body)>
      owner_by_body_;
  /// The head of the reply was received. Called again if the body then showed
  /// that the reply belongs to another call. Returning false ends the call
  /// without done_.
  std::function<bool(const StageReplyHead&)> head_;
  /// Receives a fragment of a streamed body.
  std::function<void(std::string_view)> data_;
  /// Whether data_ takes another fragment. While it returns false, nothing is
  /// read from the server until StageCall::ReadOn.
  std::function<bool()> has_room_;
  /// The call has ended. Called once, unless the call was cancelled or ended by
  /// another hook. kSuccess means that a complete reply was received, whatever
  /// its status. `body` is empty for streamed calls.
  std::function<void(CallOutcome, std::string body)> done_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CALL_HOOKS_H_
