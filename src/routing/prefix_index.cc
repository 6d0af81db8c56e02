#include "citronlane/routing/detail/prefix_index.h"

#include <algorithm>

#include <xxhash.h>

namespace citronlane {
namespace {

constexpr uint64_t kRingPointsPerServer = 16;
constexpr size_t kMaxHoldersPerPrefix = 4;
/// Events that may be reordered in transit; a sequence number further back
/// means that the server restarted.
constexpr uint64_t kReorderWindow = 64;

}  // namespace

PrefixIndex::PrefixIndex(size_t capacity) : capacity_(capacity) {}

void PrefixIndex::Reset(absl::Span<const std::string> servers) {
  events_.assign(servers.size(), EventState());
  holders_.clear();
  order_.clear();
  next_ = 0;
  ring_.clear();
  for (uint32_t server = 0; server < servers.size(); ++server) {
    const std::string& id = servers[server];
    for (uint64_t point = 0; point < kRingPointsPerServer; ++point) {
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
  EventState& events = events_[server];
  // A restarted server counts from 1 again.
  const bool restarted = (sequence == 1 && events.sequence_ > 0) ||
                         sequence + kReorderWindow < events.sequence_;
  if (sequence <= events.sequence_ && !restarted) {
    return;
  }
  if (restarted || sequence != events.sequence_ + 1) {
    Invalidate(server);
  }
  events.sequence_ = sequence;
  if (held) {
    AddHolder(server, prefix);
  } else {
    RemoveHolder(server, prefix);
  }
}

void PrefixIndex::OnStored(uint32_t server, uint64_t prefix) {
  AddHolder(server, prefix);
}

void PrefixIndex::Invalidate(uint32_t server) {
  ++events_[server].epoch_;
}

bool PrefixIndex::IsCurrent(const HolderRecord& record) const {
  return record.epoch_ == events_[record.server_].epoch_;
}

bool PrefixIndex::Holds(uint32_t server, uint64_t prefix) const {
  const auto found = holders_.find(prefix);
  if (found == holders_.end()) {
    return false;
  }
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const HolderRecord& record) {
                       return record.server_ == server && IsCurrent(record);
                     });
}

std::optional<uint32_t> PrefixIndex::Holder(uint64_t prefix) const {
  const auto found = holders_.find(prefix);
  if (found == holders_.end()) {
    return std::nullopt;
  }
  const auto& holders = found->second;
  const auto last = std::find_if(
      holders.rbegin(), holders.rend(),
      [&](const HolderRecord& record) { return IsCurrent(record); });
  if (last == holders.rend()) {
    return std::nullopt;
  }
  return last->server_;
}

std::optional<uint32_t> PrefixIndex::PreferredServer(
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

void PrefixIndex::AddHolder(uint32_t server, uint64_t prefix) {
  std::vector<HolderRecord>& holders = holders_[prefix];
  if (holders.empty()) {
    if (order_.size() < capacity_) {
      order_.push_back(prefix);
    } else {
      holders_.erase(order_[next_]);
      order_[next_] = prefix;
      next_ = (next_ + 1) % capacity_;
    }
  }
  std::vector<HolderRecord>& kept = holders_[prefix];
  kept.erase(std::remove_if(kept.begin(), kept.end(),
                            [&](const HolderRecord& record) {
                              return record.server_ == server ||
                                     !IsCurrent(record);
                            }),
             kept.end());
  if (kept.size() == kMaxHoldersPerPrefix) {
    kept.erase(kept.begin());
  }
  kept.push_back({server, events_[server].epoch_});
}

void PrefixIndex::RemoveHolder(uint32_t server, uint64_t prefix) {
  const auto found = holders_.find(prefix);
  if (found == holders_.end()) {
    return;
  }
  for (HolderRecord& record : found->second) {
    if (record.server_ == server) {
      // An epoch that is never reached invalidates the record. The entry of the
      // prefix stays, since order_ still refers to it.
      record.epoch_ = UINT64_MAX;
    }
  }
}

}  // namespace citronlane
