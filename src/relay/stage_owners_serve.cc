#include <algorithm>
#include <utility>
#include <vector>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/relay/pool_partition_codec.h"
#include "citronlane/relay/stage_owners.h"
#include "citronlane/relay/stage_pool.h"
#include "citronlane/relay/stage_task_codec.h"
#include "fleet.pb.h"

namespace citronlane {

using wire::fleet::Frame;
using Result = StageOutcome::Result;

void StageOwners::Take(const std::shared_ptr<FrameChannel>& channel,
                       Frame* frame) {
  if (frame->has_job()) {
    Serve(channel, frame);
  } else if (frame->has_announcement()) {
    ServeAnnouncement(channel, *frame);
  } else if (frame->has_job_cancel()) {
    const ServedKey key{channel.get(), frame->job_cancel().job()};
    DropAnnouncement(key);
    FreeDelivered(key);
    const auto it = served_.find(key);
    if (it != served_.end()) {
      if (StagePool* pool = pool_(it->second.partition_)) {
        pool->Cancel(it->second.local_);
      }
      served_.erase(it);
    }
  } else if (frame->has_free()) {
    if (StagePool* pool = pool_(DecodePartition(frame->free()))) {
      const std::vector<std::string> handles(frame->free().handles().begin(),
                                             frame->free().handles().end());
      pool->Free(handles);
    }
  }
}

void StageOwners::ServeAnnouncement(
    const std::shared_ptr<FrameChannel>& channel,
    const Frame& frame) {
  const auto& announcement = frame.announcement();
  const ServedKey key{channel.get(), announcement.job()};
  DropAnnouncement(key);
  const PoolPartition partition = DecodePartition(announcement);
  StagePool* pool = pool_(partition);
  if (pool == nullptr) {
    return;
  }
  const TimePoint now = SteadyNow();
  const StageForecast forecast = DecodeForecast(announcement, now);
  auto wait = pool->ExpectedWait(forecast, now);
  announced_[key] = Served{partition, pool->Announce(forecast)};
  if (wait) {
    wait->owner_lag_ = lag_ ? lag_() : Duration();
    Frame reply;
    reply.mutable_pool_wait()->set_job(announcement.job());
    EncodeWait(*wait, reply.mutable_pool_wait());
    channel->Send(reply);
  }
}

void StageOwners::DropAnnouncement(const ServedKey& key) {
  const auto it = announced_.find(key);
  if (it == announced_.end()) {
    return;
  }
  if (StagePool* pool = pool_(it->second.partition_)) {
    pool->Withdraw(it->second.local_);
  }
  announced_.erase(it);
}

void StageOwners::Serve(const std::shared_ptr<FrameChannel>& channel,
                        Frame* frame) {
  const auto& job = frame->job();
  const uint64_t number = job.job();
  const ServedKey key{channel.get(), number};
  DropAnnouncement(key);
  if (served_.count(key) != 0) {
    return;
  }
  const std::weak_ptr<FrameChannel> weak = channel;
  const auto reply_with = [weak, number](const StageOutcome& outcome) {
    const auto open = weak.lock();
    if (!open) {
      return;
    }
    Frame reply;
    auto* result = reply.mutable_job_result();
    result->set_job(number);
    if (outcome.result_ != Result::kDone) {
      result->set_reason(ToString(outcome.result_));
    }
    for (const std::string& handle : outcome.handles_) {
      result->add_handles(handle);
    }
    result->set_not_run(outcome.not_run_);
    result->set_not_sent(outcome.not_sent_);
    open->Send(reply);
  };
  const PoolPartition partition = DecodePartition(job);
  StagePool* pool = pool_(partition);
  if (pool == nullptr) {
    StageOutcome outcome;
    outcome.not_run_ = true;
    outcome.not_sent_ = true;
    reply_with(outcome);
    return;
  }
  served_[key] = Served{partition, 0};
  const uint64_t task = pool->Submit(
      DecodeTask(job, SteadyNow()),
      [this, key, reply_with, partition](const StageOutcome& outcome) {
        served_.erase(key);
        // Recorded before the reply, since the connection may end while it is
        // sent.
        if (!outcome.handles_.empty()) {
          delivered_.push_back({SteadyNow(), key, partition, outcome.handles_});
        }
        reply_with(outcome);
      },
      [weak, number] {
        if (const auto open = weak.lock()) {
          Frame note;
          note.mutable_inputs_taken()->set_job(number);
          open->Send(note);
        }
      });
  const auto it = served_.find(key);
  if (it != served_.end()) {
    it->second.local_ = task;
  }
}

void StageOwners::Closed(const FrameChannel* channel) {
  delivered_.erase(std::remove_if(delivered_.begin(), delivered_.end(),
                                  [channel](const Delivered& delivered) {
                                    return delivered.key_.first == channel;
                                  }),
                   delivered_.end());
  for (auto it = served_.lower_bound({channel, 0});
       it != served_.end() && it->first.first == channel;) {
    if (StagePool* pool = pool_(it->second.partition_)) {
      pool->Cancel(it->second.local_);
    }
    it = served_.erase(it);
  }
  for (auto it = announced_.lower_bound({channel, 0});
       it != announced_.end() && it->first.first == channel;) {
    const ServedKey key = (it++)->first;
    DropAnnouncement(key);
  }
}

}  // namespace citronlane
