#ifndef CITRONLANE_RELAY_STAGE_OWNERS_H_
#define CITRONLANE_RELAY_STAGE_OWNERS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/fleet/pool_partition.h"
#include "citronlane/relay/owner_table.h"
#include "citronlane/routing/request_sends.h"
#include "citronlane/stages/stage_forecast.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_task.h"
#include "citronlane/stages/stage_wait.h"

namespace citronlane {

class EventLog;
class FleetView;
class FrameChannel;
class FrameLink;
class RepeatBudget;
class StagePool;

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// Sends stage tasks to the gateway that owns their pool partition, this
/// gateway or another, and serves other gateways' tasks for the partitions
/// owned here. Each partition has one owner, named by control, so that its
/// calls carry pieces of many requests. When the owner is lost, its tasks are
/// sent to another partition or, if the pool is undivided, to its next owner; a
/// piece may then be made twice. It forms no calls itself; StagePool does. Used
/// on the event loop's thread.
class StageOwners {
 public:
  using Done = std::function<void(const StageOutcome& outcome)>;
  using InputsTaken = std::function<void()>;
  using WaitKnown = std::function<void(const StageWait& wait)>;
  /// The pool that runs a partition here; null when the service has no stage
  /// pool.
  using PoolHook = std::function<StagePool*(const PoolPartition& partition)>;

  /// The budget from which this gateway pays for tasks of a service that it
  /// submits again.
  using BudgetHook = std::function<RepeatBudget*(const std::string& service)>;
  /// How late this gateway's event loop is.
  using LagHook = std::function<Duration()>;

  /// `io`, `view` and `log` must outlive the object. `own_endpoint` is this
  /// gateway's. An empty `lag` counts as a loop that is never late.
  StageOwners(boost::asio::io_context* io,
              std::string own_endpoint,
              const FleetView* view,
              EventLog* log,
              PoolHook pool,
              BudgetHook budget,
              LagHook lag = nullptr);
  ~StageOwners();
  StageOwners(const StageOwners&) = delete;
  StageOwners& operator=(const StageOwners&) = delete;

  /// Announces work to the owner of the service's pool and returns the number
  /// of the future job. `wait_known` is called with the wait that the owner
  /// expects, possibly before this returns, and never if the owner is lost.
  uint64_t Announce(const std::string& service,
                    const StageForecast& forecast,
                    WaitKnown wait_known);
  /// Replaces the announcement of a job that was not submitted yet.
  void Revise(uint64_t job, const StageForecast& forecast);
  /// Submits the task announced as `job`. `done` is called once, later, unless
  /// the job is cancelled; `inputs_taken` may be called before it, see
  /// StagePool::Submit(). Precondition: `job` was announced and not cancelled.
  void Submit(uint64_t job,
              StageTask task,
              Done done,
              InputsTaken inputs_taken);
  /// Cancels an announced or submitted job. Returns whether it is certain that
  /// no piece of it was handed to a server.
  bool Cancel(uint64_t job);
  /// Frees results of a service's stage that are no longer needed.
  void Free(const std::string& service, absl::Span<const std::string> handles);

  /// Handles a frame of another gateway.
  void Take(const std::shared_ptr<FrameChannel>& channel,
            wire::fleet::Frame* frame);
  /// The connection of another gateway ended: cancels its tasks.
  void Closed(const FrameChannel* channel);
  /// Call every 100 ms or more often.
  void Tick(TimePoint now);

  /// Number of jobs of this gateway, announced or submitted.
  size_t open_jobs() const { return jobs_.size(); }
  /// Number of other gateways' tasks in progress.
  size_t served_jobs() const { return served_.size(); }

 private:
  enum class JobState {
    /// No owner was notified of it, or the notified one is lost.
    kUnplaced,
    kAnnounced,
    kSubmitted,
    /// Returned by its owner, or its owner is lost; without an owner until it
    /// is placed again.
    kMoving,
  };
  struct Job {
    std::string service_;
    /// Preferred failure domain of its pieces.
    std::string failure_domain_;
    PoolPartition partition_;
    JobState state_ = JobState::kUnplaced;
    StageTask task_;
    WaitKnown wait_known_;
    Done done_;
    InputsTaken inputs_taken_;
    /// Endpoint of the owner; empty when this gateway is the owner.
    std::string owner_;
    /// Number of the task or announcement in the pool that runs here.
    uint64_t local_ = 0;
    uint32_t moves_ = 0;
    /// It was submitted to an owner that was lost later: pieces of it may have
    /// been made.
    bool may_have_run_ = false;
    /// Counts and pays for its placements; null until it is submitted.
    std::unique_ptr<RequestSends> sends_;
  };
  /// A task or announcement of another gateway.
  struct Served {
    PoolPartition partition_;
    uint64_t local_ = 0;
  };
  /// Results that an owner was requested to free.
  struct Freed {
    TimePoint at_;
    std::string owner_;
    PoolPartition partition_;
    std::vector<std::string> handles_;
  };
  using ServedKey = std::pair<const FrameChannel*, uint64_t>;
  /// Results that were sent to the gateway that requested them.
  struct Delivered {
    TimePoint at_;
    ServedKey key_;
    PoolPartition partition_;
    std::vector<std::string> handles_;
  };

  void PlaceAnnouncement(uint64_t number, const StageForecast& forecast);
  void WithdrawIfElsewhere(uint64_t number, const Job& job);
  bool WithdrawFromOwner(uint64_t number, const Job& job);
  void Place(uint64_t number);
  /// Counts a task that is about to be handed to its owner. One that servers
  /// may have got before is paid for, if a repeat is left.
  void CountPlacement(Job* job);
  /// The job's owner is done with it, or lost. `not_sent`: no backend server
  /// can have got a piece of it from that owner.
  void NotePlacementEnd(Job* job, bool not_sent);
  void PlaceHere(uint64_t number, Job* job);
  void FailUnplaced(uint64_t number, Job* job);
  PoolPartition PartitionOf(uint64_t number, const Job& job) const;
  PoolPartition ProducerPartition(const std::string& service,
                                  const std::string& handle) const;
  void Finish(uint64_t number, StageOutcome outcome);
  bool IsHeldBy(uint64_t number, const std::string& owner) const;
  void NoteInputsTaken(uint64_t number);
  std::vector<uint64_t> DetachJobsFrom(const std::string& owner,
                                       bool may_have_them);
  void OwnerLost(const std::string& owner,
                 bool is_gone,
                 const std::vector<uint64_t>& moved);
  void ResendFrees(const std::string& owner, bool is_gone);
  void FreeAtNextOwners(TimePoint now);
  void ExpireFrees(TimePoint now);
  void SendFree(TimePoint first_sent,
                const PoolPartition& partition,
                absl::Span<const std::string> handles);
  void TakeFrame(const std::string& owner, const wire::fleet::Frame& frame);
  void TakeResult(const wire::fleet::Frame& frame);
  void FreeDelivered(const ServedKey& key);
  void Serve(const std::shared_ptr<FrameChannel>& channel,
             wire::fleet::Frame* frame);
  void ServeAnnouncement(const std::shared_ptr<FrameChannel>& channel,
                         const wire::fleet::Frame& frame);
  void DropAnnouncement(const ServedKey& key);
  FrameLink* LinkTo(const std::string& endpoint);

  boost::asio::io_context* const io_;
  const FleetView* const view_;
  OwnerTable owners_;
  EventLog* const log_;
  const PoolHook pool_;
  const BudgetHook budget_;
  const LagHook lag_;
  uint64_t last_job_ = 0;
  std::map<uint64_t, Job> jobs_;
  std::map<std::string, std::unique_ptr<FrameLink>> links_;
  std::map<ServedKey, Served> served_;
  std::map<ServedKey, Served> announced_;
  /// Recent requests to free results, ordered by time.
  std::deque<Freed> freed_;
  /// Recently delivered results, ordered by time.
  std::deque<Delivered> delivered_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_OWNERS_H_
