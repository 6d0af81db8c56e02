#include "citronlane/routing/repeat_budget.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace citronlane {
namespace {

/// Fraction of a node's bound on repeats that is used. The rest covers traffic
/// that changes within a window, and nodes that are not known yet.
constexpr double kUsedBoundFraction = 0.75;
/// Fraction of the ratio that is used by a node that has counted for less than
/// a window. What another incarnation of it sent in that window is unknown, up
/// to kUsedBoundFraction of the bound; the two fractions add up to 1.
constexpr double kNewNodeRatioFraction = 0.25;
/// A server that has stood still for longer is not expected to go on.
constexpr Duration kLongestStall = std::chrono::seconds(30);

}  // namespace

RepeatBudget::RepeatBudget(const Options& options, TimePoint counted_since)
    : options_(options), counted_since_(counted_since) {}

void RepeatBudget::OnFirstSend(TimePoint now) {
  Expire(now);
  first_.push_back(now);
  ++totals_.first_sends_;
}

bool RepeatBudget::TryTake(TimePoint now, size_t nodes) {
  const bool is_taken = TryOpen(now, nodes);
  if (is_taken) {
    SettleOpen(now);
  }
  return is_taken;
}

bool RepeatBudget::TryOpen(TimePoint now, size_t nodes) {
  if (static_cast<double>(repeats(now) + 1) > Bound(now, nodes)) {
    ++totals_.denied_;
    return false;
  }
  ++open_;
  return true;
}

void RepeatBudget::CancelOpen() {
  --open_;
}

void RepeatBudget::SettleOpen(TimePoint now) {
  --open_;
  ++totals_.repeats_;
  settled_.push_back(now);
}

void RepeatBudget::SettleOpenLate(const std::string& server, TimePoint now) {
  --open_;
  ++totals_.repeats_;
  late_[server].push_back(now);
}

void RepeatBudget::OnSignOfLife(std::string_view server, TimePoint now) {
  const auto it = late_.find(server);
  if (it != late_.end()) {
    settled_.insert(settled_.end(), it->second.size(), now);
    late_.erase(it);
  }
}

void RepeatBudget::RetainServers(
    const std::function<bool(std::string_view)>& is_listed,
    TimePoint now) {
  for (auto it = late_.begin(); it != late_.end();) {
    const auto next = std::next(it);
    if (!is_listed(it->first)) {
      OnSignOfLife(it->first, now);
    }
    it = next;
  }
}

double RepeatBudget::Bound(TimePoint now, size_t nodes) {
  Expire(now);
  const double by_ratio = options_.ratio_ * static_cast<double>(first_.size());
  if (CountedFor(now) < options_.window_) {
    return kNewNodeRatioFraction * by_ratio;
  }
  const double share =
      has_share_
          ? options_.extra_ / static_cast<double>(std::max<size_t>(1, nodes))
          : 0;
  return kUsedBoundFraction * (by_ratio + share);
}

size_t RepeatBudget::repeats(TimePoint now) {
  Expire(now);
  return open_ + settled_.size() + late();
}

size_t RepeatBudget::first_sends(TimePoint now) {
  Expire(now);
  return first_.size();
}

size_t RepeatBudget::late() const {
  return std::accumulate(late_.begin(), late_.end(), size_t{0},
                         [](size_t sum, const auto& server) {
                           return sum + server.second.size();
                         });
}

void RepeatBudget::Expire(TimePoint now) {
  const auto drop = [now](std::deque<TimePoint>* times, Duration age) {
    while (!times->empty() && now - times->front() >= age) {
      times->pop_front();
    }
  };
  drop(&first_, options_.window_);
  drop(&settled_, options_.window_);
  for (auto it = late_.begin(); it != late_.end();) {
    drop(&it->second, kLongestStall);
    it = it->second.empty() ? late_.erase(it) : std::next(it);
  }
}

}  // namespace citronlane
