#ifndef CITRONLANE_RELAY_PLACED_ENGINE_H_
#define CITRONLANE_RELAY_PLACED_ENGINE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/types/span.h"
#include "citronlane/fleet/pool_part.h"
#include "citronlane/relay/engine_placement.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/routing/engine_router.h"

namespace citronlane {

class Waker;
struct Service;

/// One request's place on an engine that another gateway chose: asks for it,
/// and tells that gateway what becomes of it. On the event loop's thread, in
/// the request's handler.
class PlacedEngine {
 public:
  /// `placement` outlives the object.
  PlacedEngine(EnginePlacement* placement, std::shared_ptr<Waker> waker);
  /// As Forget.
  ~PlacedEngine();
  PlacedEngine(const PlacedEngine&) = delete;
  PlacedEngine& operator=(const PlacedEngine&) = delete;

  /// An attempt begins, or the plan of one, on an engine of `failure_domain`
  /// where the service's engines are divided by it: looks up who places such
  /// requests, which then holds until the next call.
  void Begin(const Service& service, const std::string& failure_domain);
  /// Whether this gateway places them. False before Begin, and for services
  /// without engines, whose requests nobody places.
  bool is_here() const { return is_here_; }
  /// Whether another gateway places them.
  bool is_elsewhere() const { return is_elsewhere_; }
  /// The part whose requests they are. Precondition: either of the above.
  const PoolPart& part() const { return part_; }
  /// The request goes to an engine that nobody placed it on.
  void Leave() { is_here_ = is_elsewhere_ = false; }

  /// Suspends the handler until the gateway that places them names an engine
  /// that is not in `excluded`. Empty when there is none or no answer.
  /// Preconditions: is_elsewhere(), nothing suspended the handler since Begin,
  /// and the engine asked for before is forgotten or ended.
  std::string Ask(EnginePlacement::Purpose purpose,
                  const EngineRouter::Call& call,
                  absl::Span<const std::string> excluded);
  /// The request does not go to the engine. This and the next two do nothing
  /// when no engine was asked for.
  void Forget();
  /// The engine has read the request.
  void NoteFirstEvent();
  /// The call to the engine is over.
  void NoteEnd(CallOutcome outcome);

 private:
  EnginePlacement* const placement_;
  const std::shared_ptr<Waker> waker_;
  PoolPart part_;
  bool is_here_ = false;
  bool is_elsewhere_ = false;
  std::optional<uint64_t> question_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_PLACED_ENGINE_H_
