#include "citronlane/fleet/server_incarnations.h"

#include <utility>

namespace citronlane {
namespace {

/// Lists lag by less than a second and are read at least once a second: a
/// server that is still listed with an older incarnation after this time has no
/// newer one.
constexpr Duration kClockSetBackDelay = std::chrono::seconds(3);

}  // namespace

BackendServer ServerIncarnations::Choose(const BackendServer& listed,
                                         Known* known,
                                         TimePoint read) {
  if (listed.started_ms_ >= known->server_.started_ms_) {
    known->older_since_.reset();
    return listed;
  }
  if (!known->older_since_) {
    known->older_since_ = read;
  }
  if (read - *known->older_since_ < kClockSetBackDelay) {
    ++outdated_;
    return known->server_;
  }
  ++clocks_set_back_;
  known->older_since_.reset();
  return listed;
}

std::vector<BackendServer> ServerIncarnations::Latest(
    std::vector<BackendServer> servers,
    TimePoint read) {
  outdated_ = 0;
  // Of a server that is listed twice, the newest incarnation counts.
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
