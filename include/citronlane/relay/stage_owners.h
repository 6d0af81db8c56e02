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
#include "citronlane/fleet/pool_part.h"
#include "citronlane/relay/owner_table.h"
#include "citronlane/stages/stage_forecast.h"
#include "citronlane/stages/stage_outcome.h"
#include "citronlane/stages/stage_task.h"
#include "citronlane/stages/stage_wait.h"

namespace citronlane {

class EventLog;
class FleetView;
class FrameChannel;
class FrameLink;
class StagePool;

namespace wire::fleet {
class Frame;
}  // namespace wire::fleet

/// Takes stage tasks to the gateway that runs their pool, or a part of it, this
/// one or another, and serves the tasks of others for the parts that this one
/// runs. Each part is run by one gateway, which control names, so that the
/// pieces of many requests meet in its calls. When that gateway is lost, its
/// tasks go to another part, or to the next gateway of a pool that is not
/// divided: a piece may be made twice. On the event loop's thread.
class StageOwners {
 public:
  using Done = std::function<void(const StageOutcome& outcome)>;
  using InputsTaken = std::function<void()>;
  using WaitKnown = std::function<void(const StageWait& wait)>;
  /// The part of a service's pool, run here; null when the service has none.
  using PoolHook = std::function<StagePool*(const PoolPart& part)>;

  /// The pointers outlive the object. `own_endpoint` names this gateway.
  StageOwners(boost::asio::io_context* io,
              std::string own_endpoint,
              const FleetView* view,
              EventLog* log,
              PoolHook pool);
  ~StageOwners();
  StageOwners(const StageOwners&) = delete;
  StageOwners& operator=(const StageOwners&) = delete;

  /// Tells the gateway that runs the service's pool what will come, and returns
  /// the number of the job to be. `wait_known` is called with what it expects,
  /// maybe before this returns, and never if it is lost.
  uint64_t Announce(const std::string& service,
                    const StageForecast& forecast,
                    WaitKnown wait_known);
  /// Announces something else under a job that was not submitted yet.
  void Revise(uint64_t job, const StageForecast& forecast);
  /// Starts what was announced as `job`. `done` is called once, later, unless
  /// the job is cancelled; `inputs_taken` may be called before it: see
  /// StagePool::Submit.
  void Submit(uint64_t job,
              StageTask task,
              Done done,
              InputsTaken inputs_taken);
  /// Of a job, announced or submitted. Returns whether it is sure that no piece
  /// of it was handed to a server.
  bool Cancel(uint64_t job);
  /// The results of a service's stage are not needed any more.
  void Free(const std::string& service, absl::Span<const std::string> handles);

  /// Takes a frame of another gateway.
  void Take(const std::shared_ptr<FrameChannel>& channel,
            wire::fleet::Frame* frame);
  /// The connection of another gateway ended: its tasks are nobody's.
  void Closed(const FrameChannel* channel);
  /// Call every 100 ms.
  void Tick(TimePoint now);

  size_t open_jobs() const { return jobs_.size(); }
  /// Tasks of other gateways in hand.
  size_t served_jobs() const { return served_.size(); }

 private:
  enum class JobState {
    /// Nobody knows of it.
    kUnplaced,
    kAnnounced,
    kSubmitted,
    /// Handed back; nobody has it until it is placed again.
    kMoving,
  };
  struct Job {
    std::string service_;
    /// Where its pieces should be made.
    std::string failure_domain_;
    PoolPart part_;
    JobState state_ = JobState::kUnplaced;
    StageTask task_;
    WaitKnown wait_known_;
    Done done_;
    InputsTaken inputs_taken_;
    /// Where it is; empty: here.
    std::string owner_;
    /// Number of the task, or of the announcement, in the pool that runs here.
    uint64_t local_ = 0;
    uint32_t moves_ = 0;
    /// An owner that was lost had it: pieces of it may have been made.
    bool may_have_run_ = false;
  };
  /// A task, or an announcement, of another gateway.
  struct Served {
    PoolPart part_;
    uint64_t local_ = 0;
  };
  /// Results that an owner was told to free.
  struct Freed {
    TimePoint at_;
    std::string owner_;
    PoolPart part_;
    std::vector<std::string> handles_;
  };
  using ServedKey = std::pair<const FrameChannel*, uint64_t>;
  /// Results of a task of another gateway that were handed to it.
  struct Answered {
    TimePoint at_;
    ServedKey key_;
    PoolPart part_;
    std::vector<std::string> handles_;
  };

  void PlaceAnnouncement(uint64_t number, const StageForecast& forecast);
  void WithdrawIfElsewhere(uint64_t number, const Job& job);
  bool WithdrawFromOwner(uint64_t number, const Job& job);
  void Place(uint64_t number);
  void PlaceHere(uint64_t number, Job* job);
  void FailUnplaced(uint64_t number, Job* job);
  PoolPart PartOf(uint64_t number, const Job& job) const;
  PoolPart MakerOf(const std::string& service, const std::string& handle) const;
  void Finish(uint64_t number, StageOutcome outcome);
  bool IsAt(uint64_t number, const std::string& owner) const;
  void NoteInputsTaken(uint64_t number);
  std::vector<uint64_t> TakeFrom(const std::string& owner, bool had_them);
  void OwnerLost(const std::string& owner,
                 bool is_gone,
                 const std::vector<uint64_t>& moved);
  void FreeAgain(const std::string& owner, bool is_gone);
  void FreeAtNextOwners(TimePoint now);
  void ForgetOldFrees(TimePoint now);
  void SendFree(TimePoint first_sent,
                const PoolPart& part,
                absl::Span<const std::string> handles);
  void TakeFrame(const std::string& owner, const wire::fleet::Frame& frame);
  void TakeResult(const wire::fleet::Frame& frame);
  void FreeAnswered(const ServedKey& key);
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
  uint64_t last_job_ = 0;
  std::map<uint64_t, Job> jobs_;
  std::map<std::string, std::unique_ptr<FrameLink>> links_;
  std::map<ServedKey, Served> served_;
  std::map<ServedKey, Served> announced_;
  /// Of the last moments, in order of time.
  std::deque<Freed> freed_;
  /// Of the last moments, in order of time.
  std::deque<Answered> answered_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_STAGE_OWNERS_H_
