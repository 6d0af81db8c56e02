#ifndef CITRONLANE_RELAY_STAGE_POOL_H_
#define CITRONLANE_RELAY_STAGE_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/error.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/relay/pool_repeat_budget.h"
#include "citronlane/relay/relay_responses.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/serving/stage_piece_result.h"
#include "citronlane/stages/stage_batcher.h"
#include "citronlane/stages/stage_reply_check.h"
#include "citronlane/transport/reply_owner.h"

namespace citronlane {

class EventLog;
class FleetView;
class LimitWatch;
class ReachWatch;
class StageCall;
class StageClient;
struct Dialect;
struct StageReplyHead;

/// Runs one partition of a stage pool for all gateways: forms the calls to its
/// servers and makes them. Used on the event loop's thread.
class StagePool {
 public:
  using Done = std::function<void(const StageOutcome& outcome)>;
  using InputsTaken = std::function<void()>;

  /// All pointers must outlive the pool.
  StagePool(PoolPartition partition,
            const StagePoolSpec& spec,
            PoolRepeatBudget budget,
            LimitWatch* limits,
            ReachWatch* reach,
            const FleetView* view,
            const Dialect* dialect,
            StageClient* client,
            EventLog* log);
  ~StagePool();
  StagePool(const StagePool&) = delete;
  StagePool& operator=(const StagePool&) = delete;

  /// Call once, before the first task.
  void Begin(TimePoint now);
  /// Starts a task and returns its number. `done` is called once, unless the
  /// task is cancelled, possibly before this returns; `inputs_taken` before it,
  /// once servers have fetched the task's inputs.
  uint64_t Submit(StageTask task, Done done, InputsTaken inputs_taken);
  /// Returns whether no piece of the task was handed to a server.
  bool Cancel(uint64_t task);
  /// Frees results that are no longer needed.
  void Free(absl::Span<const std::string> handles);
  /// This gateway no longer owns the partition: tasks of which nothing was sent
  /// end as moved.
  void ReturnUnsentTasks();
  /// Call about every 50 ms, and when the servers or the configuration changed.
  void Tick(TimePoint now);

  /// See StageBatcher.
  uint64_t Announce(const StageForecast& forecast) {
    return batcher_.Announce(forecast);
  }
  void Withdraw(uint64_t announcement) { batcher_.Withdraw(announcement); }
  /// Nothing before the first server list, since no wait can be estimated then.
  std::optional<StageWait> ExpectedWait(const StageForecast& forecast,
                                        TimePoint now) const;
  /// What the pool sent again.
  PoolRepeatBudget* repeats() { return &budget_; }
  /// Number of unfinished tasks.
  size_t tasks() const { return batcher_.tasks(); }

 private:
  /// A server's reply to a call.
  struct Reply {
    int status_ = 0;
    bool not_run_ = false;
    /// Nothing when the body cannot be read; `error_` has the reason.
    std::optional<std::vector<StagePieceResult>> results_;
    Error error_;

    /// Whether the server refused the call for want of room.
    bool IsFull() const { return not_run_ && PromisesNotRun(status_); }
  };

  void Pump(TimePoint now);
  void Start(StageBatch batch, TimePoint now);
  ReplyOwner OwnerOf(uint64_t call,
                     const std::string& server,
                     absl::Span<const StagePiece> pieces,
                     const StageReplyHead& head,
                     const Reply& reply);
  void TakeReply(uint64_t call, const std::string& server, const Reply& reply);
  void LogIncompletePieces(uint64_t call,
                           const std::string& server,
                           const std::vector<StagePieceResult>& results);
  void TakeFailure(uint64_t call,
                   const std::string& server,
                   CallOutcome outcome);
  /// Has servers delete discarded results; those in backoff get it later.
  void SendUnwanted(TimePoint now);
  void SendFree(const std::string& address,
                const std::vector<std::string>& handles,
                TimePoint now);

  const PoolPartition partition_;
  const std::string name_;
  LimitWatch* const limits_;
  ReachWatch* const reach_;
  const FleetView* const view_;
  const Dialect* const dialect_;
  StageClient* const client_;
  EventLog* const log_;
  PoolRepeatBudget budget_;
  StageBatcher batcher_;
  StageReplyCheck reply_check_;
  uint64_t partitions_number_ = 0;
  uint64_t config_version_ = 0;
  struct Waiting {
    Done done_;
    InputsTaken inputs_taken_;
  };

  std::map<uint64_t, Waiting> waiting_;
  std::map<uint64_t, std::shared_ptr<StageCall>> calls_;
  /// Handles of results that servers must still be told to delete, by address.
  std::map<std::string, std::vector<std::string>> unsent_frees_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_POOL_H_
