#include "citronlane/relay/stage_owners.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/pool_partition_codec.h"
#include "citronlane/relay/stage_pool.h"
#include "citronlane/relay/stage_task_codec.h"
#include "citronlane/routing/repeat_budget.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;
using Result = StageOutcome::Result;

/// A task that was moved this often stays at this gateway or, if the pool is
/// divided, fails, since its servers belong to another gateway.
constexpr uint32_t kMaxMoves = 3;

}  // namespace

StageOwners::StageOwners(boost::asio::io_context* io,
                         std::string own_endpoint,
                         const FleetView* view,
                         EventLog* log,
                         PoolHook pool,
                         BudgetHook budget,
                         LagHook lag)
    : io_(io),
      view_(view),
      owners_(view, std::move(own_endpoint)),
      log_(log),
      pool_(std::move(pool)),
      budget_(std::move(budget)),
      lag_(std::move(lag)) {}

StageOwners::~StageOwners() = default;

uint64_t StageOwners::Announce(const std::string& service,
                               const StageForecast& forecast,
                               WaitKnown wait_known) {
  const uint64_t number = ++last_job_;
  Job& job = jobs_[number];
  job.service_ = service;
  job.failure_domain_ = forecast.failure_domain_;
  job.wait_known_ = std::move(wait_known);
  PlaceAnnouncement(number, forecast);
  return number;
}

void StageOwners::Revise(uint64_t number, const StageForecast& forecast) {
  const auto it = jobs_.find(number);
  if (it != jobs_.end() && it->second.state_ != JobState::kSubmitted) {
    WithdrawIfElsewhere(number, it->second);
    it->second.failure_domain_ = forecast.failure_domain_;
    it->second.wait_known_ = [](const StageWait&) {};
    PlaceAnnouncement(number, forecast);
  }
}

PoolPartition StageOwners::PartitionOf(uint64_t number, const Job& job) const {
  return owners_.PartitionFor(job.service_, job.failure_domain_, number,
                              SteadyNow());
}

void StageOwners::PlaceAnnouncement(uint64_t number,
                                    const StageForecast& forecast) {
  Job& job = jobs_.at(number);
  const TimePoint now = SteadyNow();
  job.state_ = JobState::kAnnounced;
  job.partition_ = PartitionOf(number, job);
  job.owner_ = owners_.OwnerOf(job.partition_, now);
  if (job.owner_ == owners_.own_endpoint()) {
    job.owner_.clear();
    if (StagePool* pool = pool_(job.partition_)) {
      auto wait = pool->ExpectedWait(forecast, now);
      job.local_ = pool->Announce(forecast);
      if (wait) {
        wait->owner_lag_ = lag_ ? lag_() : Duration();
        job.wait_known_(*wait);
      }
    }
    return;
  }
  Frame frame;
  auto* out = frame.mutable_announcement();
  out->set_job(number);
  EncodePartition(job.partition_, out);
  EncodeForecast(forecast, now, out);
  LinkTo(job.owner_)->Send(frame);
}

// Withdraws the job from its owner. Returns whether it is certain that this
// owner handed no piece to a server; it is not for a task that was submitted to
// another gateway.
bool StageOwners::WithdrawFromOwner(uint64_t number, const Job& job) {
  if (job.state_ == JobState::kUnplaced || job.state_ == JobState::kMoving) {
    return true;
  }
  const bool is_submitted = job.state_ == JobState::kSubmitted;
  if (!job.owner_.empty()) {
    Frame frame;
    frame.mutable_job_cancel()->set_job(number);
    LinkTo(job.owner_)->Send(frame);
    return !is_submitted;
  }
  StagePool* const pool = pool_(job.partition_);
  if (pool == nullptr) {
    return true;
  }
  if (is_submitted) {
    return pool->Cancel(job.local_);
  }
  pool->Withdraw(job.local_);
  return true;
}

// An owner that receives the job, or another announcement with its number,
// drops the previous announcement without a request to do so. Only this
// gateway's own pool and a previous owner must be notified.
void StageOwners::WithdrawIfElsewhere(uint64_t number, const Job& job) {
  if (job.owner_.empty() ||
      job.owner_ != owners_.OwnerOf(PartitionOf(number, job), SteadyNow())) {
    WithdrawFromOwner(number, job);
  }
}

void StageOwners::Submit(uint64_t number,
                         StageTask task,
                         Done done,
                         InputsTaken inputs_taken) {
  Job& job = jobs_.at(number);
  WithdrawIfElsewhere(number, job);
  job.state_ = JobState::kSubmitted;
  job.task_ = std::move(task);
  job.sends_ = std::make_unique<RequestSends>(
      budget_(job.service_),
      RequestSends::Before{job.task_.was_counted_, job.task_.was_sent_},
      RequestSends::Hooks{SteadyNow, [this] { return view_->GatewayCount(); }});
  job.done_ = std::move(done);
  job.inputs_taken_ = std::move(inputs_taken);
  Place(number);
}

void StageOwners::Place(uint64_t number) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  const TimePoint now = SteadyNow();
  job.partition_ = PartitionOf(number, job);
  const bool moved_too_often = job.moves_ >= kMaxMoves;
  job.state_ = JobState::kSubmitted;
  if (moved_too_often && view_->IsDivided(job.service_)) {
    FailUnplaced(number, &job);
    return;
  }
  job.owner_ = moved_too_often ? owners_.own_endpoint()
                               : owners_.OwnerOf(job.partition_, now);
  ++job.moves_;
  CountPlacement(&job);
  if (job.owner_ == owners_.own_endpoint()) {
    PlaceHere(number, &job);
    return;
  }
  Frame frame;
  auto* out = frame.mutable_job();
  out->set_job(number);
  EncodePartition(job.partition_, out);
  EncodeTask(job.task_, now, out);
  LinkTo(job.owner_)->Send(frame);
}

void StageOwners::CountPlacement(Job* job) {
  const bool is_paid = job->sends_->OnSending(job->owner_);
  job->task_.is_unpaid_ = !is_paid;
  if (job->task_.was_sent_) {
    log_->Write("stages", "task repeated",
                {{"request", job->task_.request_id_},
                 {"service", job->service_},
                 {"stage", job->task_.stage_},
                 {"moves", job->moves_},
                 {"paid_by", is_paid ? "gateway" : "owner"}});
  }
}

void StageOwners::NotePlacementEnd(Job* job, bool not_sent) {
  const std::string& owner =
      job->owner_.empty() ? owners_.own_endpoint() : job->owner_;
  if (not_sent) {
    job->sends_->OnNotSent(owner);
  } else {
    job->sends_->OnArrived(owner);
    job->task_.was_sent_ = true;
  }
}

// The job has no owner: it ends as failed, later.
void StageOwners::FailUnplaced(uint64_t number, Job* job) {
  job->state_ = JobState::kMoving;
  StageOutcome outcome;
  outcome.not_run_ = true;
  outcome.not_sent_ = true;
  boost::asio::post(*io_, [this, number, outcome] { Finish(number, outcome); });
}

void StageOwners::PlaceHere(uint64_t number, Job* job) {
  job->owner_.clear();
  StagePool* pool = pool_(job->partition_);
  if (pool == nullptr) {
    FailUnplaced(number, job);
    return;
  }
  // The pool may call back before Submit() returns.
  const uint64_t task = pool->Submit(
      job->task_,
      [this, number](const StageOutcome& outcome) { Finish(number, outcome); },
      [this, number] { NoteInputsTaken(number); });
  const auto it = jobs_.find(number);
  if (it != jobs_.end()) {
    it->second.local_ = task;
  }
}

void StageOwners::Finish(uint64_t number, StageOutcome outcome) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) {
    return;
  }
  // The outcome covers only the calls of the last owner, not those of an owner
  // that was lost earlier.
  Job& job = it->second;
  outcome.not_run_ = outcome.not_run_ && !job.may_have_run_;
  NotePlacementEnd(&job, outcome.not_sent_);
  outcome.not_sent_ = !job.task_.was_sent_;
  if (outcome.result_ == Result::kMoved) {
    job.state_ = JobState::kMoving;
    // Deferred, since this may run within a call of the pool that had the task.
    boost::asio::post(*io_, [this, number] { Place(number); });
    return;
  }
  const Done done = std::move(job.done_);
  jobs_.erase(it);
  done(outcome);
}

// Whether the owner has the task now. Messages of previous owners are ignored.
bool StageOwners::IsHeldBy(uint64_t number, const std::string& owner) const {
  const auto it = jobs_.find(number);
  return it != jobs_.end() && it->second.state_ == JobState::kSubmitted &&
         it->second.owner_ == owner;
}

void StageOwners::NoteInputsTaken(uint64_t number) {
  const auto it = jobs_.find(number);
  if (it != jobs_.end()) {
    const InputsTaken inputs_taken = it->second.inputs_taken_;
    inputs_taken();
  }
}

bool StageOwners::Cancel(uint64_t number) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) {
    return false;
  }
  Job job = std::move(it->second);
  jobs_.erase(it);
  if (job.sends_) {
    NotePlacementEnd(&job, false);
  }
  return WithdrawFromOwner(number, job) && !job.may_have_run_;
}

FrameLink* StageOwners::LinkTo(const std::string& endpoint) {
  auto& link = links_[endpoint];
  if (!link) {
    FrameLink::Hooks hooks;
    hooks.received_ = [this, endpoint](Frame* frame) {
      TakeFrame(endpoint, *frame);
    };
    // The tasks of the lost connection are collected now, since the next task
    // uses a new connection. OwnerLost() is deferred, since the link may be
    // lost within Send().
    hooks.lost_ = [this, endpoint](FrameLink::Loss loss) {
      const bool is_gone = loss != FrameLink::Loss::kEnded;
      const bool may_have_them = loss != FrameLink::Loss::kNoConnection;
      boost::asio::post(*io_,
                        [this, endpoint, is_gone,
                         moved = DetachJobsFrom(endpoint, may_have_them)] {
                          OwnerLost(endpoint, is_gone, moved);
                        });
    };
    link = std::make_unique<FrameLink>(io_, endpoint, std::move(hooks));
  }
  return link.get();
}

void StageOwners::TakeFrame(const std::string& owner, const Frame& frame) {
  if (frame.has_job_result() && IsHeldBy(frame.job_result().job(), owner)) {
    TakeResult(frame);
  } else if (frame.has_inputs_taken() &&
             IsHeldBy(frame.inputs_taken().job(), owner)) {
    NoteInputsTaken(frame.inputs_taken().job());
  } else if (frame.has_pool_wait()) {
    const auto it = jobs_.find(frame.pool_wait().job());
    if (it != jobs_.end() && it->second.state_ == JobState::kAnnounced &&
        it->second.owner_ == owner) {
      it->second.wait_known_(DecodeWait(frame.pool_wait()));
    }
  }
}

// Detaches and returns the tasks that a lost owner had, or that were sent to
// it.
std::vector<uint64_t> StageOwners::DetachJobsFrom(const std::string& owner,
                                                  bool may_have_them) {
  std::vector<uint64_t> moved;
  for (auto& [number, job] : jobs_) {
    if (job.owner_ != owner) {
      continue;
    }
    if (job.state_ == JobState::kSubmitted) {
      job.state_ = JobState::kMoving;
      job.may_have_run_ |= may_have_them;
      NotePlacementEnd(&job, !may_have_them);
      moved.push_back(number);
    } else if (job.state_ == JobState::kAnnounced) {
      // Gets an owner when it is submitted.
      job.state_ = JobState::kUnplaced;
    }
  }
  return moved;
}

// `is_gone` is false for an owner that only closed the connection: it is tried
// again, and a new connection fails if it has ended.
void StageOwners::OwnerLost(const std::string& owner,
                            bool is_gone,
                            const std::vector<uint64_t>& moved) {
  if (is_gone) {
    owners_.MarkLost(owner, SteadyNow());
  }
  log_->Write("stages", "owner lost",
              {{"owner", owner},
               {"gone", is_gone ? "yes" : "no"},
               {"tasks", static_cast<uint64_t>(moved.size())}});
  for (const uint64_t number : moved) {
    Place(number);
  }
  ResendFrees(owner, is_gone);
}

void StageOwners::TakeResult(const Frame& frame) {
  const auto& result = frame.job_result();
  StageOutcome outcome;
  outcome.result_ =
      result.reason().empty() ? Result::kDone : StageResultOf(result.reason());
  outcome.handles_.assign(result.handles().begin(), result.handles().end());
  outcome.not_run_ = result.not_run();
  outcome.not_sent_ = result.not_sent();
  Finish(result.job(), outcome);
}

void StageOwners::Tick(TimePoint now) {
  std::map<std::string, bool> awaited;
  for (const auto& [number, job] : jobs_) {
    if (job.state_ == JobState::kSubmitted) {
      awaited[job.owner_] = true;
    }
  }
  for (const auto& [endpoint, link] : links_) {
    if (awaited.count(endpoint) != 0) {
      link->CheckAlive(now);
    }
  }
  FreeAtNextOwners(now);
  ExpireFrees(now);
}

}  // namespace citronlane
