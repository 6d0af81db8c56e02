#include "citronlane/net/crash_codec.h"

#include <utility>

#include "citronlane/net/fleet_codec.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using Kind = RequestFeature::Kind;

// `out` has either a content or a segment.
template <typename Message>
void EncodeFeature(const RequestFeature& feature, Message* out) {
  if (feature.kind_ == Kind::kPromptSegment) {
    out->set_segment(feature.id_);
    return;
  }
  out->mutable_request()->set_digest(feature.id_);
  out->mutable_request()->set_body_bytes(feature.body_bytes_);
}

template <typename Message>
RequestFeature DecodeFeature(const Message& in) {
  return in.segment().empty() ? ContentFeature(DecodeContent(in.request()))
                              : SegmentFeature(in.segment());
}

}  // namespace

void EncodeTrial(const RequestFeature& feature,
                 std::string_view gateway,
                 wire::fleet::CrashReports* out) {
  if (feature.kind_ == Kind::kPromptSegment) {
    out->set_trial_segment(feature.id_);
  } else {
    out->mutable_trial_content()->set_digest(feature.id_);
    out->mutable_trial_content()->set_body_bytes(feature.body_bytes_);
  }
  out->set_gateway(std::string(gateway));
}

std::optional<RequestFeature> DecodeTrial(const wire::fleet::CrashReports& in) {
  if (in.has_trial_content()) {
    return ContentFeature(DecodeContent(in.trial_content()));
  }
  if (!in.trial_segment().empty()) {
    return SegmentFeature(in.trial_segment());
  }
  return std::nullopt;
}

void EncodeContent(const RequestFingerprint& request,
                   wire::fleet::RequestContent* out) {
  out->set_digest(request.digest_);
  out->set_body_bytes(request.body_bytes_);
  for (const std::string& segment : request.segments_) {
    out->add_segments(segment);
  }
  out->set_is_trial(request.is_trial_);
}

RequestFingerprint DecodeContent(const wire::fleet::RequestContent& in) {
  return {in.digest(),
          in.body_bytes(),
          {in.segments().begin(), in.segments().end()},
          in.is_trial()};
}

void EncodeCrash(const ServerCrash& crash,
                 TimePoint now,
                 wire::fleet::ServerCrash* out) {
  out->set_server(crash.server_);
  out->set_age_ms(InMilliseconds(now - crash.at_));
  for (const RequestFingerprint& request : crash.running_) {
    EncodeContent(request, out->add_running());
  }
}

ServerCrash DecodeCrash(const wire::fleet::ServerCrash& in, TimePoint now) {
  ServerCrash crash;
  crash.server_ = in.server();
  crash.at_ = now - FromMilliseconds(in.age_ms());
  for (const auto& request : in.running()) {
    crash.running_.push_back(DecodeContent(request));
  }
  return crash;
}

void EncodeSurvival(const CrashLedger::Survival& survival,
                    TimePoint now,
                    wire::fleet::RequestSurvival* out) {
  EncodeFeature(survival.feature_, out);
  out->set_age_ms(InMilliseconds(now - survival.at_));
}

CrashLedger::Survival DecodeSurvival(const wire::fleet::RequestSurvival& in,
                                     TimePoint now) {
  return {DecodeFeature(in), now - FromMilliseconds(in.age_ms())};
}

void EncodeSuspects(absl::Span<const SuspectRequest> suspects,
                    TimePoint now,
                    wire::fleet::SuspectRequests* out) {
  for (const SuspectRequest& suspect : suspects) {
    auto* entry = out->add_requests();
    EncodeFeature(suspect.feature_, entry);
    entry->set_crashes(suspect.crashes_);
    entry->set_last_crash_age_ms(InMilliseconds(now - suspect.last_crash_));
    entry->set_blocked_ms(suspect.IsBlocked(now)
                              ? InMilliseconds(suspect.blocked_until_ - now) + 1
                              : 0);
    entry->set_needs_trial(suspect.needs_trial_);
    entry->set_trial_gateway(suspect.trial_gateway_);
    entry->set_trial(suspect.trial_);
  }
}

std::vector<SuspectRequest> DecodeSuspects(
    const wire::fleet::SuspectRequests& in,
    TimePoint now) {
  std::vector<SuspectRequest> suspects;
  for (const auto& entry : in.requests()) {
    SuspectRequest suspect;
    suspect.feature_ = DecodeFeature(entry);
    suspect.crashes_ = entry.crashes();
    suspect.last_crash_ = now - FromMilliseconds(entry.last_crash_age_ms());
    suspect.blocked_until_ = now + FromMilliseconds(entry.blocked_ms());
    suspect.needs_trial_ = entry.needs_trial();
    suspect.trial_gateway_ = entry.trial_gateway();
    suspect.trial_ = entry.trial();
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

}  // namespace citronlane
