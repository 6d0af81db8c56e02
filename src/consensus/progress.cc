#include "citronlane/consensus/detail/progress.h"

#include <algorithm>
#include <utility>

namespace citronlane {

void Progress::BecomeProbe() {
  mode_ = Mode::kProbe;
  next_ = match_ + 1;
  probe_sent_ = false;
  inflight_.clear();
  snapshot_.reset();
}

void Progress::BecomeReplicate() {
  mode_ = Mode::kReplicate;
  next_ = match_ + 1;
  probe_sent_ = false;
  inflight_.clear();
  snapshot_.reset();
}

void Progress::BecomeSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  mode_ = Mode::kSnapshot;
  snapshot_ = std::move(snapshot);
  offset_ = 0;
  part_sent_ = TimePoint{};
  inflight_.clear();
}

bool Progress::Acknowledge(uint64_t index) {
  while (!inflight_.empty() && inflight_.front() <= index) {
    inflight_.pop_front();
  }
  next_ = std::max(next_, index + 1);
  if (index <= match_) {
    return false;
  }
  match_ = index;
  return true;
}

}  // namespace citronlane
