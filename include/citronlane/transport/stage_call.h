#ifndef CITRONLANE_TRANSPORT_STAGE_CALL_H_
#define CITRONLANE_TRANSPORT_STAGE_CALL_H_

namespace citronlane {

/// A call to a backend server in flight. Not thread safe: used on the thread
/// of its client.
class StageCall {
 public:
  virtual ~StageCall() = default;

  /// Closes the connection; no hook is called from now on. Does nothing when
  /// the call is over.
  virtual void Cancel() = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CALL_H_
