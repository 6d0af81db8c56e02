#include "citronlane/routing/server_backoffs.h"

#include <algorithm>
#include <iterator>

namespace citronlane {

std::optional<Duration> ServerBackoffs::OnRefused(const std::string& server,
                                                  double seconds,
                                                  TimePoint now) {
  const double most = std::chrono::duration<double>(kMaxBackoff).count();
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, most)));
  if (time <= Duration()) {
    return std::nullopt;
  }
  ForgetEnded(now);
  const bool was_in_backoff = until_.count(server) != 0;
  TimePoint& until = until_[server];
  until = std::max(until, now + time);
  return was_in_backoff ? std::nullopt : std::optional(time);
}

void ServerBackoffs::ForgetEnded(TimePoint now) {
  for (auto it = until_.begin(); it != until_.end();) {
    it = now < it->second ? std::next(it) : until_.erase(it);
  }
}

bool ServerBackoffs::MayCall(std::string_view server, TimePoint now) const {
  return Remaining(server, now) == Duration();
}

Duration ServerBackoffs::Remaining(std::string_view server,
                                   TimePoint now) const {
  const auto found = until_.find(server);
  return found == until_.end() ? Duration()
                               : std::max(Duration(), found->second - now);
}

std::vector<std::string> ServerBackoffs::InBackoff(TimePoint now) const {
  std::vector<std::string> servers;
  for (const auto& [server, until] : until_) {
    if (now < until) {
      servers.push_back(server);
    }
  }
  return servers;
}

}  // namespace citronlane
