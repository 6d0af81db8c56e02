#ifndef CITRONLANE_ROUTING_CALL_SCOPE_H_
#define CITRONLANE_ROUTING_CALL_SCOPE_H_

namespace citronlane {

/// Whose calls share what a backend server takes.
enum class CallScope {
  /// This gateway decides on all calls to the server.
  kOwner,
  /// Each gateway decides on its own calls.
  kShare,
  /// As kShare, beside an owner that uses most of it.
  kShareBesideOwner,
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CALL_SCOPE_H_
