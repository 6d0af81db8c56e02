#ifndef CITRONLANE_TRANSPORT_STAGE_CALL_H_
#define CITRONLANE_TRANSPORT_STAGE_CALL_H_

namespace citronlane {

/// A call of a StageClient to a backend server. Not thread safe: used on the
/// thread of its client.
class StageCall {
 public:
  virtual ~StageCall() = default;

  /// Closes the connection; no hook is called any more. Does nothing if the
  /// call has ended.
  virtual void Cancel() = 0;

  /// Call when StageCallHooks::has_room_ may have become true: reading goes on.
  virtual void ReadOn() = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CALL_H_
