#include "citronlane/control/limit_feed.h"

#include <algorithm>
#include <string_view>

#include "citronlane/net/limit_codec.h"
#include "fleet.pb.h"

namespace citronlane {

LimitFeed::LimitFeed() : limits_("control") {}

void LimitFeed::Take(const wire::fleet::ServerLimits& limits, TimePoint now) {
  for (const auto& limit : limits.limits()) {
    limits_.Observe(DecodeLimit(limit, now));
  }
}

void LimitFeed::Retain(absl::Span<const BackendServer> servers) {
  limits_.Retain([servers](std::string_view id) {
    return std::any_of(
        servers.begin(), servers.end(),
        [id](const BackendServer& server) { return server.id_ == id; });
  });
}

void LimitFeed::StartLeading() {
  limits_.Retain([](std::string_view) { return false; });
}

uint64_t LimitFeed::AddTo(uint64_t sent,
                          TimePoint now,
                          wire::fleet::WatchUpdate* update) const {
  for (const ServerLimit& limit : limits_.RecordedSince(sent)) {
    EncodeLimit(limit, now, update->mutable_limits()->add_limits());
  }
  return limits_.number();
}

}  // namespace citronlane
