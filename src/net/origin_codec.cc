#include "citronlane/net/origin_codec.h"

#include <algorithm>

#include "citronlane/net/fleet_codec.h"
#include "citronlane/routing/version_sightings.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

constexpr int kStreamsPerFrame = 4096;

}  // namespace

std::vector<Frame> EncodeOrigins(const StreamGroups& streams, bool is_copy) {
  std::vector<Frame> frames;
  int in_last = kStreamsPerFrame;
  for (const auto& [origin, keys] : streams) {
    wire::fleet::StreamOrigin* entry = nullptr;
    for (const uint64_t key : keys) {
      if (in_last == kStreamsPerFrame) {
        frames.emplace_back().mutable_stream_origins()->set_is_copy(is_copy);
        in_last = 0;
        entry = nullptr;
      }
      if (entry == nullptr) {
        entry = frames.back().mutable_stream_origins()->add_origins();
        entry->set_service(origin.first);
        entry->set_version(origin.second);
      }
      entry->add_streams(key);
      ++in_last;
    }
  }
  return frames;
}

void EncodeSightings(const VersionSightings& sightings,
                     TimePoint now,
                     wire::fleet::VersionsSeen* out) {
  for (const VersionSightings::Version& version : sightings.versions_) {
    auto* seen = out->add_versions();
    seen->set_service(version.service_);
    seen->set_version(version.version_);
    seen->set_is_listed(!version.gone_);
    seen->set_gone_ms(InMilliseconds(now - version.gone_.value_or(now)));
  }
  out->set_first_read_ms(InMilliseconds(now - sightings.first_read_));
  out->set_last_read_ms(InMilliseconds(now - sightings.last_read_));
  out->set_is_first_use_known(sightings.unused_until_.has_value());
  out->set_unused_until_ms(
      InMilliseconds(now - sightings.unused_until_.value_or(now)));
}

VersionSightings DecodeSightings(const wire::fleet::VersionsSeen& in,
                                 TimePoint now) {
  VersionSightings sightings;
  for (const auto& seen : in.versions()) {
    auto& version = sightings.versions_.emplace_back();
    version.service_ = seen.service();
    version.version_ = seen.version();
    if (!seen.is_listed()) {
      version.gone_ = now - FromMilliseconds(seen.gone_ms());
    }
  }
  sightings.last_read_ = now - FromMilliseconds(in.last_read_ms());
  sightings.first_read_ = std::min(sightings.last_read_,
                                   now - FromMilliseconds(in.first_read_ms()));
  if (in.is_first_use_known()) {
    sightings.unused_until_ = now - FromMilliseconds(in.unused_until_ms());
  }
  return sightings;
}

}  // namespace citronlane
