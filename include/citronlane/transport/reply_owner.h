#ifndef CITRONLANE_TRANSPORT_REPLY_OWNER_H_
#define CITRONLANE_TRANSPORT_REPLY_OWNER_H_

namespace citronlane {

/// The call that a backend server's reply belongs to. HTTP pairs replies with
/// calls only by their order on a connection, so after a second reply to one
/// call, each later reply would be matched with the wrong call.
enum class ReplyOwner {
  kThisCall,
  /// The reply is accepted, although nothing in it shows that it belongs to
  /// this call. Its connection is not reused.
  kAssumed,
  /// The reply belongs to another call and is skipped; this call's reply may
  /// follow.
  kOtherCall,
  /// It can't be determined where this call's reply begins or ends; the call
  /// fails.
  kUnclear,
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLY_OWNER_H_
