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

/// On the leader: asks the platform for its list and commits what it changes.
/// A thread of its own. Start and Stop are called by one thread.
class VmListPoller {
 public:
  using LogHook = std::function<void(std::string_view)>;

  /// An empty `address` polls nothing. The pointers must outlive this.
  VmListPoller(const std::string& address,
               Duration interval,
               ControlState* state,
               CommandProposer* proposer,
               LogHook log);
  ~VmListPoller();
  VmListPoller(const VmListPoller&) = delete;
  VmListPoller& operator=(const VmListPoller&) = delete;

  void Start();
  /// May be called twice. Precondition: the replica answers or refuses what
  /// was proposed.
  void Stop();

 private:
  void Run();
  void Poll();
  void Propose(const VmListClient::States& seen);
  void TellOnce(const std::string& failure);

  const bool enabled_;
  const VmListClient client_;
  const Duration interval_;
  ControlState* const state_;
  CommandProposer* const proposer_;
  const LogHook log_;
  /// Last failure that was told.
  std::string failure_;
  std::mutex mutex_;
  std::condition_variable wake_;
  WorkerThread thread_{&mutex_, &wake_};
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_VM_LIST_POLLER_H_
