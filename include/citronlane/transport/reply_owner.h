#ifndef CITRONLANE_TRANSPORT_REPLY_OWNER_H_
#define CITRONLANE_TRANSPORT_REPLY_OWNER_H_

namespace citronlane {

/// Whose a backend server's reply is. HTTP pairs replies with calls by their
/// order on a connection alone, and a server that answers twice breaks it.
enum class ReplyOwner {
  kThisCall,
  /// Taken for this call's, though nothing in it shows that: its connection is
  /// not used again.
  kAssumed,
  /// Read past: this call's reply may follow.
  kOtherCall,
  /// It can't be told where this call's reply begins or ends.
  kUnclear,
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_REPLY_OWNER_H_
