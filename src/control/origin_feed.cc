#include "citronlane/control/origin_feed.h"

#include <utility>

#include "citronlane/net/fleet_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/routing/stream_version.h"
#include "citronlane/routing/version_sightings.h"
#include "citronlane/serving/stream_origin.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

/// Streams of the whole fleet within kMaxStreamAge, 7,600 a second: as many as
/// fit into a hash table of 2^19 slots, 9 MB.
constexpr size_t kMaxStreams = (size_t{1} << 19) / 8 * 7;

}  // namespace

OriginFeed::OriginFeed(EventLog* log)
    : log_(log), streams_(kMaxStreamAge, kMaxStreams) {}

void OriginFeed::Take(const wire::fleet::StreamOrigins& origins,
                      TimePoint now) {
  for (const auto& entry : origins.origins()) {
    const StreamOrigin origin{entry.service(), entry.version()};
    for (const uint64_t stream : entry.streams()) {
      // Other VMs have what was known: a new leader gets everything again.
      if (streams_.Record(stream, origin, now) && !origins.is_copy()) {
        copies_[{origin.service_, origin.version_}].push_back(stream);
      }
    }
  }
  LogForgotten();
}

std::vector<wire::fleet::Frame> OriginFeed::TakeCopies(TimePoint now) {
  auto frames = EncodeOrigins(std::exchange(copies_, StreamGroups()), true);
  const auto sightings = versions_.Sightings();
  if (std::exchange(has_new_list_, false) && sightings) {
    EncodeSightings(*sightings, now,
                    frames.emplace_back().mutable_versions_seen());
  }
  return frames;
}

void OriginFeed::SetServers(absl::Span<const BackendServer> servers,
                            const std::optional<TimePoint>& unused_until,
                            TimePoint now) {
  versions_.Update(servers, now);
  if (unused_until) {
    versions_.SetUnusedUntil(*unused_until);
  }
  has_new_list_ = true;
}

void OriginFeed::Take(const wire::fleet::VersionsSeen& versions,
                      TimePoint now) {
  versions_.Merge(DecodeSightings(versions, now));
}

void OriginFeed::AnswerTo(const wire::fleet::StreamOriginAsk& ask,
                          bool leads,
                          TimePoint now,
                          wire::fleet::StreamOriginAnswer* answer) {
  answer->set_question(ask.question());
  answer->set_leads(leads);
  if (const auto origin = streams_.Find(ask.stream(), now)) {
    answer->set_is_known(true);
    answer->set_service(origin->service_);
    answer->set_version(origin->version_);
    return;
  }
  const auto read = versions_.last_read();
  const auto begin = versions_.OnlyVersionBegin(ask.service());
  if (!read || !begin || versions_.Covered(now) == Duration() ||
      now <= *begin) {
    return;
  }
  if (const auto only = versions_.OnlyVersionSince(ask.service(), *begin)) {
    answer->set_only_version(*only);
    answer->set_only_version_ms(InMilliseconds(now - *begin));
    answer->set_is_only_version_ever(
        versions_.IsOnlyVersionEver(ask.service()));
    answer->set_list_age_ms(InMilliseconds(now - *read));
  }
}

void OriginFeed::LogForgotten() {
  const uint64_t forgotten = streams_.forgotten_early();
  if (forgotten != logged_forgotten_) {
    log_->Write("control", "stream origins forgotten",
                {{"streams", forgotten - logged_forgotten_},
                 {"remembered", static_cast<uint64_t>(streams_.size())}});
    logged_forgotten_ = forgotten;
  }
}

}  // namespace citronlane
