#include "citronlane/routing/cold_servers.h"

#include <algorithm>
#include <utility>

namespace citronlane {
namespace {

/// A server that the list calls cold counts as cold for this multiple of the
/// start time, unless a later list calls it warm: lists may stop coming.
constexpr int kListedStartTimes = 2;

}  // namespace

std::vector<ColdServer> ColdServers::Update(
    absl::Span<const BackendServer> servers,
    const SpecHook& spec,
    TimePoint now) {
  std::vector<ColdServer> cold;
  std::map<std::string, Known> next;
  for (const BackendServer& server : servers) {
    const auto found = known_.find(server.id_);
    Known known = found == known_.end() ? Known() : found->second;
    const bool begins =
        found == known_.end() ? has_list_ : known.leaving_ && !server.leaving_;
    if (begins) {
      known.began_ = now;
    }
    if (server.is_cold_ && !known.is_cold_) {
      known.cold_since_ = now;
    }
    known.is_cold_ = server.is_cold_;
    known.leaving_ = server.leaving_;
    if (const ColdServerSpec* declared = spec(server.service_)) {
      const Duration start = declared->start_time_;
      const TimePoint listed_until =
          known.is_cold_ ? known.cold_since_ + kListedStartTimes * start
                         : TimePoint();
      const TimePoint until = std::max(known.began_ + start, listed_until);
      if (until > now) {
        cold.push_back({server.id_, declared->per_second_, until});
      }
    }
    next.emplace(server.id_, known);
  }
  known_ = std::move(next);
  has_list_ = true;
  return cold;
}

}  // namespace citronlane
