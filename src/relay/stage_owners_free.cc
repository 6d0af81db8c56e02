#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/pool_partition_codec.h"
#include "citronlane/relay/stage_owners.h"
#include "citronlane/relay/stage_pool.h"
#include "citronlane/serving/result_handle.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// An owner that does not reply is detected as lost well within this time.
constexpr Duration kFreeRetryTime = std::chrono::milliseconds(1500);

}  // namespace

void StageOwners::Free(const std::string& service,
                       absl::Span<const std::string> handles) {
  std::map<PoolPartition, std::vector<std::string>> by_partition;
  for (const std::string& handle : handles) {
    by_partition[ProducerPartition(service, handle)].push_back(handle);
  }
  const TimePoint now = SteadyNow();
  for (const auto& [partition, freed] : by_partition) {
    SendFree(now, partition, freed);
  }
}

// Any partition can free the result of a producer that is no longer in the
// list.
PoolPartition StageOwners::ProducerPartition(const std::string& service,
                                             const std::string& handle) const {
  const BackendServer* producer = view_->ServerAt(ProducerAddress(handle));
  return producer == nullptr || producer->service_ != service
             ? view_->PartitionsOf(service).front()
             : view_->PartitionIn(service, producer->failure_domain_);
}

void StageOwners::SendFree(TimePoint first_sent,
                           const PoolPartition& partition,
                           absl::Span<const std::string> handles) {
  const std::string owner = owners_.OwnerOf(partition, SteadyNow());
  if (owner == owners_.own_endpoint()) {
    if (StagePool* pool = pool_(partition)) {
      pool->Free(handles);
    }
    return;
  }
  Frame frame;
  auto* free = frame.mutable_free();
  EncodePartition(partition, free);
  for (const std::string& handle : handles) {
    free->add_handles(handle);
  }
  freed_.push_back(
      Freed{first_sent, owner, partition,
            std::vector<std::string>(handles.begin(), handles.end())});
  LinkTo(owner)->Send(frame);
}

// Repeats requests that may have been lost with a connection: to the same owner
// on its next connection, or to the next owner if it is gone.
void StageOwners::ResendFrees(const std::string& owner, bool is_gone) {
  const TimePoint now = SteadyNow();
  for (const Freed& freed : std::exchange(freed_, {})) {
    if (now - freed.at_ > kFreeRetryTime) {
      continue;
    }
    const bool has_next = owners_.OwnerOf(freed.partition_, now) != owner;
    if (freed.owner_ == owner && has_next == is_gone) {
      SendFree(freed.at_, freed.partition_, freed.handles_);
    } else {
      freed_.push_back(freed);
    }
  }
}

// A domain partition has no next owner until control names one.
void StageOwners::FreeAtNextOwners(TimePoint now) {
  std::deque<Freed> kept;
  for (Freed& freed : std::exchange(freed_, {})) {
    if (freed.partition_.IsDomainPartition() &&
        owners_.OwnerOf(freed.partition_, now) != freed.owner_) {
      SendFree(freed.at_, freed.partition_, freed.handles_);
    } else {
      kept.push_back(std::move(freed));
    }
  }
  kept.insert(kept.end(), freed_.begin(), freed_.end());
  freed_ = std::move(kept);
}

// Frees results that were delivered to a gateway whose request had ended: it
// cancelled the task and ignores the results, so it does not free them.
void StageOwners::FreeDelivered(const ServedKey& key) {
  const auto it = std::find_if(
      delivered_.begin(), delivered_.end(),
      [&key](const Delivered& delivered) { return delivered.key_ == key; });
  if (it == delivered_.end()) {
    return;
  }
  if (StagePool* pool = pool_(it->partition_)) {
    pool->Free(it->handles_);
  }
  delivered_.erase(it);
}

void StageOwners::ExpireFrees(TimePoint now) {
  while (!freed_.empty() && now - freed_.front().at_ > kFreeRetryTime) {
    freed_.pop_front();
  }
  while (!delivered_.empty() && now - delivered_.front().at_ > kFreeRetryTime) {
    delivered_.pop_front();
  }
}

}  // namespace citronlane
