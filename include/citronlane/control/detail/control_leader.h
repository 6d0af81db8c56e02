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

/// What only the leader does, on a thread of its own: takes the fencing
/// number, keeps the addresses of the control VMs, forgets silent gateways,
/// has engine orders sent. Thread safe, but Start and Stop.
class ControlLeader {
 public:
  using StatusHook = std::function<ReplicaStatus()>;
  using LogHook = std::function<void(std::string_view)>;

  /// The references must outlive this.
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
  /// May be called twice. Precondition: the replica answers or refuses what
  /// was proposed.
  void Stop();

  /// Hook of the Replica.
  void OnRole(Role role, uint64_t term);

  /// Fencing number of this leadership; 0 while this node does not lead.
  uint64_t fencing_number() const;

 private:
  void Run();
  void Work();
  void TakeLead(uint64_t term);
  void KeepPeers();
  void ForgetSilentGateways();

  const ControlOptions& options_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const StatusHook status_;
  const LogHook log_;
  OrderDispatcher* const orders_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  /// Term this node leads in, 0 for none.
  uint64_t term_ = 0;
  bool taking_lead_ = false;
  TimePoint lead_since_{};
  uint64_t fencing_number_ = 0;
  WorkerThread thread_{&mutex_, &wake_};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_LEADER_H_
