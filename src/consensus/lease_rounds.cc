#include "citronlane/consensus/detail/lease_rounds.h"

namespace citronlane {

uint64_t LeaseRounds::Begin(TimePoint now, TimePoint horizon) {
  while (!rounds_.empty() && rounds_.front().began_ < horizon) {
    rounds_.pop_front();
  }
  rounds_.push_back(Round{++current_, now});
  return current_;
}

TimePoint LeaseRounds::BeganAt(uint64_t round) const {
  if (rounds_.empty() || round < rounds_.front().number_ || round > current_) {
    return TimePoint{};
  }
  return rounds_[round - rounds_.front().number_].began_;
}

}  // namespace citronlane
