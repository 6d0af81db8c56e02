#ifndef CITRONLANE_CONTROL_DETAIL_COMMAND_PROPOSER_H_
#define CITRONLANE_CONTROL_DETAIL_COMMAND_PROPOSER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/base/time.h"
#include "state.pb.h"

namespace citronlane {

/// Proposes commands to the replicated log, stamped with cluster time. Cluster
/// time advances only while a node leads: a leader continues from the time in
/// the replicated state by its monotonic clock, so that cluster time never runs
/// ahead of real time. Thread safe.
class CommandProposer {
 public:
  /// Receives the result, or nullopt with the reason when the command is not
  /// known to be committed; it may be committed later.
  using Done = std::function<void(std::optional<wire::StateResult> result,
                                  const Error& error)>;
  /// Replica::Propose.
  using ProposeHook = std::function<void(
      const std::string& payload,
      std::function<void(std::optional<std::string>, const Error&)> done)>;

  explicit CommandProposer(ProposeHook propose);

  /// Starts cluster time at `time_ms` as of `now`. Call when this node leads
  /// and has applied everything from before its term.
  void OnLeadershipGained(uint64_t time_ms, TimePoint now);
  void OnLeadershipLost();
  bool leads() const;

  /// Cluster time in milliseconds; nullopt while this node does not lead.
  std::optional<uint64_t> TimeMs() const;

  /// Proposes a command at the current cluster time. `done` is called once:
  /// within this call, or on the replica's thread.
  void Propose(wire::StateCommand command, Done done);

  /// Proposes a command without a cluster time, also before OnLeadershipGained.
  void ProposeFirst(const wire::StateCommand& command, Done done);

  /// Proposes a command and waits for its result, at most `limit`. Returns
  /// nullopt and sets `error` when it is not known to be committed. Must not be
  /// called on the replica's thread.
  std::optional<wire::StateResult> ProposeAndWait(wire::StateCommand command,
                                                  Duration limit,
                                                  Error* error);

 private:
  const ProposeHook propose_;
  mutable std::mutex mutex_;
  bool leads_ = false;
  uint64_t base_ms_ = 0;
  TimePoint since_{};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_COMMAND_PROPOSER_H_
