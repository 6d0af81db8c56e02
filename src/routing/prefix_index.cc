#include "citronlane/routing/detail/prefix_index.h"

#include <algorithm>

#include <xxhash.h>

namespace citronlane {
namespace {

constexpr uint64_t kPointsPerServer = 16;
constexpr size_t kHoldersPerPrefix = 4;
constexpr uint64_t kReorderWindow = 64;

}  // namespace

PrefixIndex::PrefixIndex(size_t capacity) : capacity_(capacity) {}

void PrefixIndex::Reset(absl::Span<const std::string> servers) {
  events_.assign(servers.size(), Events());
  beliefs_.clear();
  order_.clear();
  next_ = 0;
  ring_.clear();
  for (uint32_t server = 0; server < servers.size(); ++server) {
    const std::string& id = servers[server];
    for (uint64_t point = 0; point < kPointsPerServer; ++point) {
      ring_.push_back({XXH64(id.data(), id.size(), point), server});
    }
  }
  std::sort(ring_.begin(), ring_.end(), [](const Point& a, const Point& b) {
    return a.position_ < b.position_;
  });
}

void PrefixIndex::OnEvent(uint32_t server,
                          uint64_t sequence,
                          uint64_t prefix,
                          bool held) {
  Events& events = events_[server];
  // A restarted server counts from 1 again; only near events come out of order.
  const bool restarted = (sequence == 1 && events.sequence_ > 0) ||
                         sequence + kReorderWindow < events.sequence_;
  if (sequence <= events.sequence_ && !restarted) {
    return;
  }
  if (restarted || sequence != events.sequence_ + 1) {
    Forget(server);
  }
  events.sequence_ = sequence;
  if (held) {
    Remember(server, prefix);
  } else {
    Drop(server, prefix);
  }
}

void PrefixIndex::OnStored(uint32_t server, uint64_t prefix) {
  Remember(server, prefix);
}

void PrefixIndex::Forget(uint32_t server) {
  ++events_[server].epoch_;
}

bool PrefixIndex::IsCurrent(const Belief& belief) const {
  return belief.epoch_ == events_[belief.server_].epoch_;
}

bool PrefixIndex::Holds(uint32_t server, uint64_t prefix) const {
  const auto found = beliefs_.find(prefix);
  if (found == beliefs_.end()) {
    return false;
  }
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const Belief& belief) {
                       return belief.server_ == server && IsCurrent(belief);
                     });
}

std::optional<uint32_t> PrefixIndex::Holder(uint64_t prefix) const {
  const auto found = beliefs_.find(prefix);
  if (found == beliefs_.end()) {
    return std::nullopt;
  }
  const auto& holders = found->second;
  const auto last =
      std::find_if(holders.rbegin(), holders.rend(),
                   [&](const Belief& belief) { return IsCurrent(belief); });
  if (last == holders.rend()) {
    return std::nullopt;
  }
  return last->server_;
}

std::optional<uint32_t> PrefixIndex::Home(
    uint64_t prefix,
    const std::vector<bool>& usable) const {
  const auto first = std::lower_bound(
      ring_.begin(), ring_.end(), prefix,
      [](const Point& point, uint64_t key) { return point.position_ < key; });
  const auto start = static_cast<size_t>(first - ring_.begin());
  for (size_t step = 0; step < ring_.size(); ++step) {
    const Point& point = ring_[(start + step) % ring_.size()];
    if (usable[point.server_]) {
      return point.server_;
    }
  }
  return std::nullopt;
}

void PrefixIndex::Remember(uint32_t server, uint64_t prefix) {
  std::vector<Belief>& holders = beliefs_[prefix];
  if (holders.empty()) {
    if (order_.size() < capacity_) {
      order_.push_back(prefix);
    } else {
      beliefs_.erase(order_[next_]);
      order_[next_] = prefix;
      next_ = (next_ + 1) % capacity_;
    }
  }
  std::vector<Belief>& kept = beliefs_[prefix];
  kept.erase(std::remove_if(kept.begin(), kept.end(),
                            [&](const Belief& belief) {
                              return belief.server_ == server ||
                                     !IsCurrent(belief);
                            }),
             kept.end());
  if (kept.size() == kHoldersPerPrefix) {
    kept.erase(kept.begin());
  }
  kept.push_back({server, events_[server].epoch_});
}

void PrefixIndex::Drop(uint32_t server, uint64_t prefix) {
  const auto found = beliefs_.find(prefix);
  if (found == beliefs_.end()) {
    return;
  }
  for (Belief& belief : found->second) {
    if (belief.server_ == server) {
      // An epoch that never comes: the entry stays for the order of age.
      belief.epoch_ = UINT64_MAX;
    }
  }
}

}  // namespace citronlane
