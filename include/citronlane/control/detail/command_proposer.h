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

/// Puts commands into the replicated log under cluster time. Cluster time runs
/// while some node leads: a leader goes on from the time in the state it took
/// over, by its monotonic clock, so it never runs ahead of real time. Thread
/// safe.
class CommandProposer {
 public:
  /// The result, or nothing with the reason when the command is not known to
  /// be committed; it may still be.
  using Done = std::function<void(std::optional<wire::StateResult> result,
                                  const Error& error)>;
  /// Replica::Propose.
  using ProposeHook = std::function<void(
      const std::string& payload,
      std::function<void(std::optional<std::string>, const Error&)> done)>;

  explicit CommandProposer(ProposeHook propose);

  /// This node leads, and everything before its term is applied; cluster time
  /// is `time_ms` now.
  void OnLead(uint64_t time_ms, TimePoint now);
  void OnLeadLost();
  bool leads() const;

  /// Cluster time; nothing while this node does not lead.
  std::optional<uint64_t> TimeMs() const;

  /// `done` is called once: at once, or from the replica's thread.
  void Propose(wire::StateCommand command, Done done);

  /// The same before OnLead, without moving cluster time.
  void ProposeFirst(const wire::StateCommand& command, Done done);

  /// Waits for the result, at most `limit`. Not for the replica's thread.
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
