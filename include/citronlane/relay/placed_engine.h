#ifndef CITRONLANE_RELAY_PLACED_ENGINE_H_
#define CITRONLANE_RELAY_PLACED_ENGINE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/engine_router.h"
#include "citronlane/routing/engine_run.h"

namespace citronlane {

class Waker;
struct Service;

/// The engine that a placement owner at another gateway assigns to one request:
/// requests it and reports the call's progress to that gateway. Used on the
/// event loop's thread, in the request's handler.
class PlacedEngine {
 public:
  /// `placement` must outlive the object.
  PlacedEngine(EnginePlacement* placement, std::shared_ptr<Waker> waker);
  /// Calls Cancel().
  ~PlacedEngine();
  PlacedEngine(const PlacedEngine&) = delete;
  PlacedEngine& operator=(const PlacedEngine&) = delete;

  /// Begins an attempt, or the planning of one, on an engine of
  /// `failure_domain` if the service's engines are divided by it. Looks up the
  /// placement owner, which stays the same until the next call.
  void Begin(const Service& service, const std::string& failure_domain);
  /// Whether this gateway is the placement owner. False before Begin() and for
  /// services without engines.
  bool is_placed_here() const { return is_placed_here_; }
  /// Whether another gateway is the placement owner.
  bool is_placed_elsewhere() const { return is_placed_elsewhere_; }
  /// Partition that contains the engine. Precondition: is_placed_here() or
  /// is_placed_elsewhere().
  const PoolPartition& partition() const { return partition_; }
  /// The request will be sent to an engine that no placement owner assigned.
  void Detach() { is_placed_here_ = is_placed_elsewhere_ = false; }

  /// Suspends the handler until the placement owner names an engine that is not
  /// in `excluded`, and returns its id. Empty when there is none or no reply
  /// came in time. `reserved` as in EnginePlacement. Preconditions:
  /// is_placed_elsewhere(), the handler was not suspended since Begin(), and a
  /// previous engine was ended by Cancel() or NoteEnd().
  std::string RequestEngine(EnginePlacement::Purpose purpose,
                            const EngineRouter::Call& call,
                            absl::Span<const std::string> excluded,
                            std::string_view reserved = {});
  /// The request will not be sent to the engine. Like the next two functions,
  /// it does nothing when no engine was requested.
  void Cancel();
  /// The engine has read the request, `after` the call to it.
  void NoteFirstEvent(Duration after);
  /// The call to the engine ended.
  void NoteEnd(CallOutcome outcome, const EngineOutput& output);

 private:
  EnginePlacement* const placement_;
  const std::shared_ptr<Waker> waker_;
  PoolPartition partition_;
  bool is_placed_here_ = false;
  bool is_placed_elsewhere_ = false;
  std::optional<uint64_t> question_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_PLACED_ENGINE_H_
