#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_LEADER_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_LEADER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string_view>

#include "citronlane/consensus/role.h"
#include "citronlane/control/control_options.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/control/replica_status.h"
#include "citronlane/process/worker_thread.h"

namespace citronlane {

class OrderDispatcher;

/// The leader's duties, on a thread of its own: acquires the fencing number,
/// registers the addresses of the control VMs, removes silent gateways and
/// dispatches engine orders. Thread safe, except that Start and Stop are called
/// by one thread.
class ControlLeader {
 public:
  using StatusHook = std::function<ReplicaStatus()>;
  using LogHook = std::function<void(std::string_view)>;

  /// The references and pointers must outlive this object.
  ControlLeader(const ControlOptions& options,
                ControlState* state,
                CommandProposer* proposer,
                OrderDispatcher* orders,
                StatusHook status,
                LogHook log);
  ~ControlLeader();
  ControlLeader(const ControlLeader&) = delete;
  ControlLeader& operator=(const ControlLeader&) = delete;

  void Start();
  /// Ends the thread. May be called twice. Precondition: the replica completes
  /// or refuses pending proposals, since the thread may wait for one.
  void Stop();

  /// ReplicaHooks::role_changed_.
  void OnRole(Role role, uint64_t term);

  /// Fencing number of this leadership; 0 while this node does not lead.
  uint64_t fencing_number() const;

 private:
  void Run();
  void Work();
  void AcquireFencingNumber(uint64_t term);
  void RegisterMissingPeers();
  void RemoveSilentGateways();

  const ControlOptions& options_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const StatusHook status_;
  const LogHook log_;
  OrderDispatcher* const orders_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  /// Term in which this node leads; 0 while it does not lead.
  uint64_t term_ = 0;
  bool acquiring_fencing_number_ = false;
  TimePoint leading_since_{};
  uint64_t fencing_number_ = 0;
  WorkerThread thread_{&mutex_, &wake_};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_LEADER_H_
