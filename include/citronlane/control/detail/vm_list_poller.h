#ifndef CITRONLANE_CONTROL_DETAIL_VM_LIST_POLLER_H_
#define CITRONLANE_CONTROL_DETAIL_VM_LIST_POLLER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/control/detail/command_proposer.h"
#include "citronlane/control/detail/control_state.h"
#include "citronlane/process/worker_thread.h"
#include "citronlane/transport/vm_list_client.h"

namespace citronlane {

/// Polls the platform's VM list on the leader and commits the changes of
/// backend servers in it. Has a thread of its own; Start and Stop are called by
/// one thread.
class VmListPoller {
 public:
  using LogHook = std::function<void(std::string_view)>;

  /// An empty `address` disables polling. The pointers must outlive this
  /// object.
  VmListPoller(const std::string& address,
               Duration interval,
               ControlState* state,
               CommandProposer* proposer,
               LogHook log);
  ~VmListPoller();
  VmListPoller(const VmListPoller&) = delete;
  VmListPoller& operator=(const VmListPoller&) = delete;

  void Start();
  /// Ends the thread. May be called twice. Precondition: the replica completes
  /// or refuses pending proposals, since the thread may wait for one.
  void Stop();

 private:
  void Run();
  void Poll();
  void Propose(const VmListClient::States& listed);
  void LogFailureOnce(const std::string& failure);

  const bool enabled_;
  const VmListClient client_;
  const Duration interval_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const LogHook log_;
  /// Last failure that was logged; empty when the last poll succeeded.
  std::string failure_;
  std::mutex mutex_;
  std::condition_variable wake_;
  WorkerThread thread_{&mutex_, &wake_};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_VM_LIST_POLLER_H_
