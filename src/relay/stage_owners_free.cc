#include <algorithm>
#include <utility>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/pool_part_codec.h"
#include "citronlane/relay/stage_owners.h"
#include "citronlane/relay/stage_pool.h"
#include "citronlane/serving/result_handle.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// An owner that does not answer is found lost well within this time.
constexpr Duration kFreedKnown = std::chrono::milliseconds(1500);

}  // namespace

void StageOwners::Free(const std::string& service,
                       absl::Span<const std::string> handles) {
  std::map<PoolPart, std::vector<std::string>> by_part;
  for (const std::string& handle : handles) {
    by_part[MakerOf(service, handle)].push_back(handle);
  }
  const TimePoint now = SteadyNow();
  for (const auto& [part, freed] : by_part) {
    SendFree(now, part, freed);
  }
}

// Of a maker that is not in the list any more any part can free the result.
PoolPart StageOwners::MakerOf(const std::string& service,
                              const std::string& handle) const {
  const BackendServer* maker = view_->ServerAt(MakerAddress(handle));
  return maker == nullptr || maker->service_ != service
             ? view_->PartsOf(service).front()
             : view_->PartIn(service, maker->failure_domain_);
}

void StageOwners::SendFree(TimePoint first_sent,
                           const PoolPart& part,
                           absl::Span<const std::string> handles) {
  const std::string owner = owners_.OwnerOf(part, SteadyNow());
  if (owner == owners_.own_endpoint()) {
    if (StagePool* pool = pool_(part)) {
      pool->Free(handles);
    }
    return;
  }
  Frame frame;
  auto* free = frame.mutable_free();
  NamePart(part, free);
  for (const std::string& handle : handles) {
    free->add_handles(handle);
  }
  freed_.push_back(
      Freed{first_sent, owner, part,
            std::vector<std::string>(handles.begin(), handles.end())});
  LinkTo(owner)->Send(frame);
}

// What was on its way on a connection that ended is freed by the owner on its
// next one, or by the next owner when it is gone.
void StageOwners::FreeAgain(const std::string& owner, bool is_gone) {
  const TimePoint now = SteadyNow();
  for (const Freed& freed : std::exchange(freed_, {})) {
    if (now - freed.at_ > kFreedKnown) {
      continue;
    }
    const bool has_next = owners_.OwnerOf(freed.part_, now) != owner;
    if (freed.owner_ == owner && has_next == is_gone) {
      SendFree(freed.at_, freed.part_, freed.handles_);
    } else {
      freed_.push_back(freed);
    }
  }
}

// A part of a failure domain has no next owner until control names one.
void StageOwners::FreeAtNextOwners(TimePoint now) {
  std::deque<Freed> kept;
  for (Freed& freed : std::exchange(freed_, {})) {
    if (freed.part_.IsDomainPartition() &&
        owners_.OwnerOf(freed.part_, now) != freed.owner_) {
      SendFree(freed.at_, freed.part_, freed.handles_);
    } else {
      kept.push_back(std::move(freed));
    }
  }
  kept.insert(kept.end(), freed_.begin(), freed_.end());
  freed_ = std::move(kept);
}

// Its results crossed the end of their request on their way: nobody there knows
// of them.
void StageOwners::FreeAnswered(const ServedKey& key) {
  const auto it = std::find_if(
      answered_.begin(), answered_.end(),
      [&key](const Answered& answered) { return answered.key_ == key; });
  if (it == answered_.end()) {
    return;
  }
  if (StagePool* pool = pool_(it->part_)) {
    pool->Free(it->handles_);
  }
  answered_.erase(it);
}

void StageOwners::ForgetOldFrees(TimePoint now) {
  while (!freed_.empty() && now - freed_.front().at_ > kFreedKnown) {
    freed_.pop_front();
  }
  while (!answered_.empty() && now - answered_.front().at_ > kFreedKnown) {
    answered_.pop_front();
  }
}

}  // namespace citronlane
