#include "citronlane/routing/server_rests.h"

#include <algorithm>
#include <iterator>

namespace citronlane {

std::optional<Duration> ServerRests::OnRefused(const std::string& server,
                                               double seconds,
                                               TimePoint now) {
  const double most = std::chrono::duration<double>(kMaxRest).count();
  const auto rest = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, most)));
  if (rest <= Duration()) {
    return std::nullopt;
  }
  ForgetEnded(now);
  const bool was_resting = until_.count(server) != 0;
  TimePoint& until = until_[server];
  until = std::max(until, now + rest);
  return was_resting ? std::nullopt : std::optional(rest);
}

void ServerRests::ForgetEnded(TimePoint now) {
  for (auto it = until_.begin(); it != until_.end();) {
    it = now < it->second ? std::next(it) : until_.erase(it);
  }
}

bool ServerRests::MayCall(std::string_view server, TimePoint now) const {
  return Left(server, now) == Duration();
}

Duration ServerRests::Left(std::string_view server, TimePoint now) const {
  const auto found = until_.find(server);
  return found == until_.end() ? Duration()
                               : std::max(Duration(), found->second - now);
}

std::vector<std::string> ServerRests::Resting(TimePoint now) const {
  std::vector<std::string> resting;
  for (const auto& [server, until] : until_) {
    if (now < until) {
      resting.push_back(server);
    }
  }
  return resting;
}

}  // namespace citronlane
