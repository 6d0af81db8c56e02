// What servers of two software versions write does not fit together: a stream
// is continued only by servers of the version that began it.

#include <algorithm>
#include <string>
#include <vector>

#include "citronlane/relay/fleet_view.h"
#include "citronlane/relay/relay_context.h"
#include "citronlane/relay/relay_request.h"

namespace citronlane {

bool RelayRequest::MayContinue(const BackendServer& server) const {
  return !origin_ || server.version_ == origin_->version_;
}

std::vector<std::string> RelayRequest::TriedOrOfOtherVersions() const {
  std::vector<std::string> excluded = tried_;
  for (const BackendServer* server :
       context_->view_->ServersOf(service_->name_)) {
    if (!MayContinue(*server)) {
      excluded.push_back(server->id_);
    }
  }
  return excluded;
}

bool RelayRequest::HasServerOfOrigin() const {
  const auto servers = context_->view_->ServersOf(origin_->service_);
  return std::any_of(servers.begin(), servers.end(),
                     [this](const BackendServer* server) {
                       return !server->leaving_ && MayContinue(*server);
                     });
}

void RelayRequest::NoteOrigin() {
  if (!origin_) {
    origin_ = {service_->name_, last_version_};
  }
}

}  // namespace citronlane
