#include "citronlane/routing/stream_origins.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace citronlane {

uint64_t StreamOrigins::KeyOf(std::string_view request_id) {
  return XXH3_64bits(request_id.data(), request_id.size());
}

StreamOrigins::StreamOrigins(Duration keep, size_t max_streams)
    : keep_(keep), max_streams_(max_streams) {}

bool StreamOrigins::Record(uint64_t stream,
                           const StreamOrigin& origin,
                           TimePoint now) {
  Expire(now);
  if (younger_.streams_.contains(stream)) {
    return false;
  }
  const auto known = older_.streams_.find(stream);
  if (known == older_.streams_.end()) {
    Add(stream, origin, now);
    return true;
  }
  const StreamOrigin first = older_.origins_[known->second];
  older_.streams_.erase(known);
  Add(stream, first, now);
  return false;
}

void StreamOrigins::Add(uint64_t stream,
                        const StreamOrigin& origin,
                        TimePoint now) {
  if (younger_.streams_.size() >= max_streams_) {
    forgotten_early_ += older_.streams_.size();
    Rotate(now);
  }
  younger_.streams_.emplace(stream, younger_.IndexOf(origin));
}

std::optional<StreamOrigin> StreamOrigins::Find(uint64_t stream,
                                                TimePoint now) {
  Expire(now);
  for (const Generation* generation : {&younger_, &older_}) {
    const auto it = generation->streams_.find(stream);
    if (it != generation->streams_.end()) {
      return generation->origins_[it->second];
    }
  }
  return std::nullopt;
}

void StreamOrigins::ForEach(
    const std::function<void(uint64_t, const StreamOrigin&)>& visit) const {
  for (const Generation* generation : {&younger_, &older_}) {
    for (const auto& [stream, origin] : generation->streams_) {
      visit(stream, generation->origins_[origin]);
    }
  }
}

size_t StreamOrigins::size() const {
  return younger_.streams_.size() + older_.streams_.size();
}

void StreamOrigins::Expire(TimePoint now) {
  if (!began_) {
    began_ = now;
  }
  if (now - *began_ < keep_) {
    return;
  }
  const bool is_all_old = now - *began_ >= 2 * keep_;
  Rotate(now);
  if (is_all_old) {
    older_ = Generation();
  }
}

void StreamOrigins::Rotate(TimePoint now) {
  older_ = std::exchange(younger_, Generation());
  began_ = now;
}

uint32_t StreamOrigins::Generation::IndexOf(const StreamOrigin& origin) {
  // Records come in groups of the same origin.
  if (last_used_ < origins_.size() && origins_[last_used_] == origin) {
    return last_used_;
  }
  const auto it = std::find(origins_.begin(), origins_.end(), origin);
  last_used_ = static_cast<uint32_t>(it - origins_.begin());
  if (it == origins_.end()) {
    origins_.push_back(origin);
  }
  return last_used_;
}

}  // namespace citronlane
