#ifndef CITRONLANE_STAGES_STAGE_BATCHER_H_
#define CITRONLANE_STAGES_STAGE_BATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/serving/backend_server.h"
#include "citronlane/serving/stage_piece_result.h"
#include "citronlane/serving/stage_pool_spec.h"
#include "citronlane/stages/stage_batch.h"
#include "citronlane/stages/stage_forecast.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_task.h"
#include "citronlane/stages/stage_wait.h"

namespace citronlane {

/// Forms the calls to the servers of one stage pool from the pieces of many
/// gateways. A call takes long however few pieces it carries, so pieces wait
/// while all servers are busy and share a call as soon as one is free. They
/// wait beside an idle server only if it is out of capacity for their results,
/// or if one in their task's failure domain is free soon enough. It sends
/// nothing: the owner of the pool makes the calls that Next returns, reports
/// how they ended, and fetches further actions by the Take methods. Time is
/// passed in. Not thread safe.
class StageBatcher {
 public:
  /// Returns whether a call may carry pieces of a task that servers may have
  /// got before, and counts it as done. Each call counts for each such task.
  using RepeatHook = std::function<bool(TimePoint now)>;
  /// A task is sent for the first time.
  using FirstSendHook = std::function<void(TimePoint now)>;
  /// Returns whether a server may get a call now, beside other conditions.
  using ServerHook = std::function<bool(const std::string& id, TimePoint now)>;
  /// How a call ended that returned no results.
  enum class CallFailure {
    /// It did not reach the server.
    kNotSent,
    /// The server refused it, since it is busy.
    kRefused,
    /// The server may have run it.
    kLost,
  };

  StageBatcher(
      const StagePoolSpec& spec,
      RepeatHook may_repeat,
      ServerHook may_call = [](const std::string&, TimePoint) { return true; },
      FirstSendHook on_first_send = [](TimePoint) {});

  /// Replaces the pool's declaration.
  void SetSpec(const StagePoolSpec& spec) { spec_ = spec; }
  /// Replaces the list of servers. Servers that stay keep their state; one with
  /// a call in flight is kept, draining, until the next list.
  void SetServers(absl::Span<const BackendServer* const> servers);

  /// Another gateway may have owned the pool until now. If a server turns out
  /// to be out of capacity, half of it counts as occupied until results made
  /// before have expired, and each server's first call may have to wait behind
  /// calls of the previous owner.
  void TakeOver(TimePoint now);

  /// Adds a task, whose pieces wait for a call. Returns its number.
  uint64_t Add(StageTask task, TimePoint now);
  /// Removes a task without an outcome and discards its results. Returns true
  /// if no server can have run any piece of it; false also when the task is
  /// unknown or has ended.
  bool Cancel(uint64_t task);

  /// Returns the next call to start now, if any; call it until it returns
  /// nullopt. Each call ends by one Finished or Failed.
  std::optional<StageBatch> Next(TimePoint now);
  /// Reports the results of a call, in the order of its pieces; a missing one
  /// counts as failed. Unknown calls are ignored, here and in Failed.
  void Finished(uint64_t call,
                absl::Span<const StagePieceResult> results,
                TimePoint now);
  /// Reports that a call ended without results. Its pieces wait for another
  /// call or end their task; the server gets no call for a while.
  void Failed(uint64_t call, CallFailure failure, TimePoint now);
  /// Ends tasks that can not be done any more, expires results and
  /// announcements, and hedges late calls. Call it about every 50 ms.
  void Tick(TimePoint now);

  /// For the shutdown of this gateway: ends as kMoved the tasks that no server
  /// can have run, so that another gateway may run them.
  void ReturnUnsentTasks();

  /// Tasks that ended since the last call.
  std::vector<StageOutcome> TakeOutcomes();
  /// Tasks whose inputs were fetched by servers since the last call. The inputs
  /// may be released; if a call of such a task is lost after that, the task
  /// ends as kInputGone.
  std::vector<uint64_t> TakeTasksWithInputsTaken();
  /// Handles of results discarded since the last call, by the address of the
  /// server that holds them. The owner has the servers delete them.
  std::map<std::string, std::vector<std::string>> TakeDiscardedResults();
  /// Discards results that are not needed any more: their capacity counts as
  /// free, and TakeDiscardedResults returns them.
  void Free(absl::Span<const std::string> handles);

  /// Announces pieces that will be added later, so that ExpectedWait counts
  /// them already. Returns a number for Withdraw. An announcement expires at
  /// its deadline.
  uint64_t Announce(const StageForecast& forecast);
  /// Ends an announcement: its pieces were added, or never will be.
  void Withdraw(uint64_t announcement);
  /// Estimates how long such pieces would wait if they were announced now. A
  /// fixed value when no server takes calls.
  StageWait ExpectedWait(const StageForecast& forecast, TimePoint now) const;

  /// Pieces that wait for a call.
  size_t waiting_pieces() const { return waiting_; }
  /// Tasks that have not ended.
  size_t tasks() const { return tasks_.size(); }
  /// Calls in flight, hedged ones included.
  size_t open_calls() const { return calls_.size(); }

 private:
  struct Piece {
    uint32_t attempts_ = 0;
    /// Calls in flight that carry it.
    uint32_t in_calls_ = 0;
    bool is_waiting_ = true;
    std::string handle_;
  };
  struct Task {
    StageTask task_;
    TimePoint added_;
    std::vector<Piece> pieces_;
    /// Pieces that wait for a call.
    uint32_t waiting_ = 0;
    uint32_t done_ = 0;
    /// A call with one of its pieces was replied to or lost.
    bool may_have_run_ = false;
    /// When a server started, or at the latest starts, the last call with one
    /// of its pieces.
    TimePoint last_started_;
    /// Servers have fetched its inputs.
    bool inputs_taken_ = false;
    /// Its first send was counted, here or by who submitted it.
    bool is_counted_ = false;
    /// Its next send is a repeat that is not paid for yet.
    bool is_unpaid_ = false;
  };
  struct Result {
    uint64_t bytes_ = 0;
    TimePoint expires_;
  };
  struct Server {
    std::string id_;
    std::string name_;
    std::string address_;
    std::string failure_domain_;
    bool leaving_ = false;
    /// Calls in flight, except hedged ones.
    uint32_t calls_ = 0;
    /// Number of the call that is queued at the server; 0 for none.
    uint64_t queued_call_ = 0;
    /// When its calls in flight should be done.
    TimePoint free_at_;
    /// Learned time of calls relative to the declared time.
    double slow_factor_ = 1;
    TimePoint suspended_until_;
    /// Calls of another gateway may precede the next one there.
    bool may_be_busy_ = false;
    /// Capacity was set aside for results of the previous owner's calls.
    bool has_reserved_for_previous_owner_ = false;
    int consecutive_failures_ = 0;
    uint64_t held_bytes_ = 0;
    /// Capacity reserved for the results of calls in flight.
    uint64_t reserved_bytes_ = 0;
    std::map<std::string, Result> results_;
  };
  /// Servers of a failure domain that can take calls, and the pieces that
  /// should run there.
  struct DomainLoad {
    size_t servers_ = 0;
    TimePoint first_free_;
    size_t waiting_ = 0;
  };
  struct Call {
    std::string server_;
    std::vector<std::pair<uint64_t, uint32_t>> pieces_;
    /// When the server started it; when it was sent while it is queued there.
    TimePoint started_;
    bool is_waiting_ = false;
    Duration expected_{};
    /// Slow factor of the server when the call was sent.
    double slow_factor_ = 1;
    uint64_t reserved_bytes_ = 0;
    /// Its pieces may be sent to another server as well.
    bool hedged_ = false;
  };

  struct ChosenPiece {
    uint64_t task_number_;
    uint32_t index_;
    Task* task_;
  };
  /// A task with waiting pieces, as it is ordered for servers near its data.
  struct OrderedTask {
    TimePoint order_;
    uint64_t number_ = 0;
    Task* task_ = nullptr;
    /// It waits for a server near its data.
    bool waits_for_near_ = false;
  };

  std::vector<Server*> IdleServers(TimePoint now);
  std::vector<Server*> ServersFinishingSoon(TimePoint now);
  uint64_t MinUsefulCapacity() const;
  /// Pays for the repeats among the chosen pieces, which must then be sent.
  /// Without `with_repeats` none are chosen.
  std::vector<ChosenPiece> ChoosePieces(const Server& server,
                                        absl::Span<const OrderedTask> tasks,
                                        bool with_repeats,
                                        TimePoint now);
  /// Whether servers may have got any of its waiting pieces before, and that is
  /// not paid for.
  static bool HasRepeats(const Task& task);
  StageBatch Start(Server* server,
                   const std::vector<ChosenPiece>& chosen,
                   TimePoint now);
  void StartQueuedCall(Server* server, uint64_t call, TimePoint now);
  void MarkQueuedCallStarted(Server* server, TimePoint now);
  uint64_t FreeCapacity(const Server& server) const;
  /// Computed once for all servers that are tried at a time.
  std::vector<OrderedTask> TasksInOrder(uint64_t min_capacity, TimePoint now);
  TimePoint OrderOf(TimePoint target,
                    uint32_t priority,
                    uint32_t pieces,
                    TimePoint now) const;
  bool IsLate(TimePoint target, TimePoint now) const;
  double PiecesPerMicrosecond(TimePoint now) const;
  void SetWaiting(Task* task, Piece* piece, bool waits);
  bool IsInNearDomain(const Task& task, const Server& server) const;
  std::map<std::string_view, DomainLoad> LoadByDomain(uint64_t min_capacity,
                                                      TimePoint now) const;
  bool WaitsForNearServer(const Task& task, const DomainLoad& load) const;
  bool ExceedsAnyCall(const Task& task) const;
  bool FitsCall(const Task& task, size_t places, uint64_t capacity) const;
  Duration ExpectedCallTime(const Server& server, size_t pieces) const;
  StagePiece MakePiece(const Task& task, uint32_t piece, TimePoint now) const;
  Server* ReleaseCall(uint64_t number, const Call& call, TimePoint now);
  void TakeResult(uint64_t task,
                  uint32_t piece,
                  const StagePieceResult& result,
                  Server* server,
                  TimePoint now);
  void RecordHeldResult(Server* server,
                        const std::string& handle,
                        uint64_t bytes,
                        TimePoint now);
  void OnOutOfCapacity(Server* server, uint64_t bytes, TimePoint now);
  void OccupyCapacity(Server* server, uint64_t bytes, TimePoint until);
  void Requeue(uint64_t task, uint32_t piece);
  void RecordFetchedInputs(TimePoint now);
  static bool HasNotRun(const Task& task);
  void End(uint64_t task, StageOutcome::Result result);
  void Discard(const std::string& handle);
  void Suspend(Server* server, TimePoint now);
  void EndUnfinishableTasks(TimePoint now);
  void HedgeLateCalls(TimePoint now);

  StagePoolSpec spec_;
  const RepeatHook may_repeat_;
  const ServerHook may_call_;
  const FirstSendHook on_first_send_;
  std::map<std::string, Server> servers_;
  std::map<uint64_t, Task> tasks_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, StageForecast> announced_;
  /// Id of the server that holds a result, by handle.
  std::map<std::string, std::string> holders_;
  /// Handles by address, for TakeDiscardedResults.
  std::map<std::string, std::vector<std::string>> discarded_;
  std::vector<StageOutcome> outcomes_;
  /// For TakeTasksWithInputsTaken.
  std::vector<uint64_t> tasks_with_inputs_taken_;
  std::optional<TimePoint> taken_over_;
  size_t waiting_ = 0;
  uint64_t last_number_ = 0;
  /// Factor on the declared time of a piece.
  double piece_factor_ = 1;
  /// Moving average of the time of calls, over all servers.
  Duration average_call_time_{};
  /// Moving average of the pieces of a task.
  double average_pieces_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_BATCHER_H_
