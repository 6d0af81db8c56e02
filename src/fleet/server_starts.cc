#include "citronlane/fleet/server_starts.h"

#include <utility>

namespace citronlane {
namespace {

/// Lists lag by less than a second, and are read at least once a second: who is
/// still listed with an earlier start by now has no later one.
constexpr Duration kClockSetBack = std::chrono::seconds(3);

}  // namespace

BackendServer ServerStarts::Choose(const BackendServer& listed,
                                   Known* known,
                                   TimePoint read) {
  if (listed.started_ms_ >= known->server_.started_ms_) {
    known->earlier_since_.reset();
    return listed;
  }
  if (!known->earlier_since_) {
    known->earlier_since_ = read;
  }
  if (read - *known->earlier_since_ < kClockSetBack) {
    ++outdated_;
    return known->server_;
  }
  ++set_back_;
  known->earlier_since_.reset();
  return listed;
}

std::vector<BackendServer> ServerStarts::Latest(
    std::vector<BackendServer> servers,
    TimePoint read) {
  outdated_ = 0;
  // A server that is listed twice counts by its latest entry.
  std::map<std::string, size_t> places;
  std::vector<BackendServer> latest;
  for (BackendServer& server : servers) {
    const auto [place, is_new] = places.emplace(server.name_, latest.size());
    if (is_new) {
      latest.push_back(std::move(server));
    } else if (server.started_ms_ > latest[place->second].started_ms_) {
      latest[place->second] = std::move(server);
    }
  }
  std::map<std::string, Known> next;
  for (BackendServer& server : latest) {
    const auto before = known_.find(server.name_);
    Known known = before == known_.end() ? Known{server, std::nullopt}
                                         : std::move(before->second);
    server = Choose(server, &known, read);
    known.server_ = server;
    next.emplace(server.name_, std::move(known));
  }
  known_ = std::move(next);
  return latest;
}

}  // namespace citronlane
