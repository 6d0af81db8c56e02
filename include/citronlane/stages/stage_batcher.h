#ifndef CITRONLANE_STAGES_STAGE_BATCHER_H_
#define CITRONLANE_STAGES_STAGE_BATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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
/// while all servers are busy and go together as soon as one is free; none
/// waits while a server is idle. Pure: commands come out of Next and the Take
/// methods. Not thread safe.
class StageBatcher {
 public:
  /// Whether a request's pieces may be handed to servers once more now.
  using RepeatHook = std::function<bool(TimePoint now)>;
  /// How a call ended that brought no results.
  enum class CallFailure {
    /// No server has seen it.
    kNotSent,
    /// The server refused it: it has its hands full.
    kRefused,
    /// The server may have run it.
    kLost,
  };

  StageBatcher(const StagePoolSpec& spec, RepeatHook may_repeat);

  /// Takes a new version of the pool's declaration, and of its servers.
  void SetSpec(const StagePoolSpec& spec) { spec_ = spec; }
  void SetServers(absl::Span<const BackendServer* const> servers);

  /// Another gateway may have run the pool until now: half of the room of a
  /// server that has none counts as taken until the results that it left have
  /// expired, and a server's first call may wait for those of the other.
  void TakeOver(TimePoint now);

  /// Returns the task's number.
  uint64_t Add(StageTask task, TimePoint now);
  /// Nobody wants the task any more.
  /// Returns whether no piece of it was handed to a server; false when it is
  /// over.
  bool Cancel(uint64_t task);

  /// The next call that should start now, if any.
  std::optional<StageBatch> Next(TimePoint now);
  /// Results of a call, one a piece.
  void Finished(uint64_t call,
                absl::Span<const StagePieceResult> results,
                TimePoint now);
  void Failed(uint64_t call, CallFailure failure, TimePoint now);
  /// Passage of time: ends tasks that are too late and frees what a server has
  /// dropped by itself. Call every 50 ms or so.
  void Tick(TimePoint now);

  /// This gateway is going: ends the tasks of which nothing was sent, so that
  /// another one may run them.
  void HandBackWaiting();

  /// Tasks that ended since the last call.
  std::vector<StageOutcome> TakeOutcomes();
  /// Tasks whose inputs were fetched since the last call: they may be freed,
  /// and if a call is lost all the same, the task ends as kInputGone.
  std::vector<uint64_t> TakeTasksWithInputsTaken();
  /// Results that nobody wants, by the address of the server that keeps them.
  std::map<std::string, std::vector<std::string>> TakeUnwanted();
  /// The results are not needed any more: makes room and hands them to
  /// TakeUnwanted.
  void Free(absl::Span<const std::string> handles);

  /// Pieces that will come, so that the waits told to others count them before
  /// they are there. Returns a number for Withdraw.
  uint64_t Announce(const StageForecast& forecast);
  /// The announced pieces have come, or never will.
  void Withdraw(uint64_t announcement);
  /// What such pieces would meet if they were announced now.
  StageWait ExpectedWait(const StageForecast& forecast, TimePoint now) const;

  size_t waiting_pieces() const { return waiting_; }
  size_t tasks() const { return tasks_.size(); }
  size_t open_calls() const { return calls_.size(); }

 private:
  struct Piece {
    uint32_t tries_ = 0;
    /// Calls that have it in hand.
    uint32_t in_calls_ = 0;
    bool waits_ = true;
    std::string handle_;
  };
  struct Task {
    StageTask task_;
    TimePoint added_;
    std::vector<Piece> pieces_;
    /// Pieces that wait for a call.
    uint32_t waiting_ = 0;
    uint32_t done_ = 0;
    /// A call with one of its pieces was answered or lost.
    bool may_have_run_ = false;
    /// When a server began with the last of its pieces that was handed out.
    TimePoint last_begun_;
    /// Servers have fetched what it works on.
    bool inputs_taken_ = false;
    TimePoint repeat_paid_until_;
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
    uint32_t calls_ = 0;
    /// Number of the call that waits there for its turn; 0 for none.
    uint64_t waiting_call_ = 0;
    /// When it should be done with what it has in hand.
    TimePoint free_at_;
    /// Time of calls against what the declaration says, learned.
    double slowness_ = 1;
    TimePoint suspended_until_;
    /// Calls of another gateway may stand before the next one there.
    bool may_be_busy_ = false;
    /// Half of its room was taken for what another gateway left.
    bool has_left_results_ = false;
    int failures_in_row_ = 0;
    uint64_t held_bytes_ = 0;
    /// Of calls in hand.
    uint64_t reserved_bytes_ = 0;
    std::map<std::string, Result> results_;
  };
  /// Servers of a failure domain that may take calls, and what waits for them.
  struct Nearby {
    size_t servers_ = 0;
    TimePoint first_free_;
    size_t waiting_ = 0;
  };
  struct Call {
    std::string server_;
    std::vector<std::pair<uint64_t, uint32_t>> pieces_;
    /// When the server began with it; when it was sent while it waits there.
    TimePoint begun_;
    bool waits_ = false;
    Duration expected_{};
    /// Of the server when the call began.
    double slowness_ = 1;
    uint64_t reserved_bytes_ = 0;
    /// Its pieces were given to another server as well.
    bool hedged_ = false;
  };

  struct ChosenPiece {
    uint64_t task_number_;
    uint32_t index_;
    Task* task_;
  };

  std::vector<Server*> IdleServers(TimePoint now);
  std::vector<Server*> ServersAboutToEnd(TimePoint now);
  uint64_t LeastRoomWanted() const;
  std::vector<ChosenPiece> ChooseFor(const Server& server,
                                     uint64_t least_room,
                                     TimePoint now);
  StageBatch Start(Server* server,
                   const std::vector<ChosenPiece>& chosen,
                   TimePoint now);
  void EndTurn(Server* server, uint64_t call, TimePoint now);
  void BeginWaitingCall(Server* server, TimePoint now);
  uint64_t RoomOf(const Server& server) const;
  std::vector<std::pair<uint64_t, Task*>> TasksInOrder(const Server& server,
                                                       uint64_t least_room,
                                                       TimePoint now);
  TimePoint OrderOf(TimePoint target,
                    uint32_t priority,
                    uint32_t pieces,
                    TimePoint now) const;
  bool IsLate(TimePoint target, TimePoint now) const;
  double PiecesPerMicrosecond(TimePoint now) const;
  void SetWaiting(Task* task, Piece* piece, bool waits);
  bool IsNear(const Task& task, const Server& server) const;
  std::map<std::string_view, Nearby> NearbyByDomain(uint64_t least_room,
                                                    TimePoint now) const;
  bool WaitsForNearServer(const Task& task, const Nearby& nearby) const;
  bool CanNeverGoWhole(const Task& task) const;
  bool FitsWhole(const Task& task, size_t places, uint64_t room) const;
  Duration Expected(const Server& server, size_t pieces) const;
  StagePiece MakePiece(const Task& task, uint32_t piece, TimePoint now) const;
  Server* ReleaseCall(uint64_t number, const Call& call, TimePoint now);
  void TakeResult(uint64_t task,
                  uint32_t piece,
                  const StagePieceResult& result,
                  Server* server,
                  TimePoint now);
  void KeepResult(Server* server,
                  const std::string& handle,
                  uint64_t bytes,
                  TimePoint now);
  void TakeNoRoom(Server* server, uint64_t bytes, TimePoint now);
  void TakeRoom(Server* server, uint64_t bytes, TimePoint until);
  void Requeue(uint64_t task, uint32_t piece, bool is_repeat, TimePoint now);
  void RequeueParked(TimePoint now);
  void NoteTakenInputs(TimePoint now);
  static bool HasNotRun(const Task& task);
  void End(uint64_t task, StageOutcome::Result result);
  void Discard(const std::string& handle);
  void Suspend(Server* server, TimePoint now);
  void EndHopelessTasks(TimePoint now);
  void HedgeLateCalls(TimePoint now);

  StagePoolSpec spec_;
  const RepeatHook may_repeat_;
  std::map<std::string, Server> servers_;
  std::map<uint64_t, Task> tasks_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, StageForecast> announced_;
  /// Which server keeps a result.
  std::map<std::string, std::string> keepers_;
  std::map<std::string, std::vector<std::string>> unwanted_;
  std::vector<StageOutcome> outcomes_;
  std::vector<uint64_t> taken_;
  /// Pieces that failed and wait for a repeat to be allowed.
  std::set<std::pair<uint64_t, uint32_t>> parked_;
  std::optional<TimePoint> taken_over_;
  size_t waiting_ = 0;
  uint64_t last_number_ = 0;
  /// Time of a piece against what the declaration says, over all servers.
  double piece_factor_ = 1;
  /// What calls took lately, learned over all servers.
  Duration usual_call_{};
  /// Pieces of a task, learned.
  double usual_pieces_ = 1;
};

}  // namespace citronlane

#endif  // CITRONLANE_STAGES_STAGE_BATCHER_H_
