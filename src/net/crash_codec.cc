#include "citronlane/net/crash_codec.h"

#include <utility>

#include "citronlane/net/fleet_codec.h"
#include "fleet.pb.h"

namespace citronlane {

void EncodeContent(const RequestFingerprint& request,
                   wire::fleet::RequestContent* out) {
  out->set_digest(request.digest_);
  out->set_body_bytes(request.body_bytes_);
}

RequestFingerprint DecodeContent(const wire::fleet::RequestContent& in) {
  return {in.digest(), in.body_bytes()};
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
  EncodeContent(survival.request_, out->mutable_request());
  out->set_age_ms(InMilliseconds(now - survival.at_));
}

CrashLedger::Survival DecodeSurvival(const wire::fleet::RequestSurvival& in,
                                     TimePoint now) {
  return {DecodeContent(in.request()), now - FromMilliseconds(in.age_ms())};
}

void EncodeSuspects(absl::Span<const SuspectRequest> suspects,
                    TimePoint now,
                    wire::fleet::SuspectRequests* out) {
  for (const SuspectRequest& suspect : suspects) {
    auto* entry = out->add_requests();
    EncodeContent(suspect.fingerprint_, entry->mutable_request());
    entry->set_crashes(suspect.crashes_);
    entry->set_last_crash_age_ms(InMilliseconds(now - suspect.last_crash_));
    entry->set_blocked_ms(suspect.IsBlocked(now)
                              ? InMilliseconds(suspect.blocked_until_ - now) + 1
                              : 0);
  }
}

std::vector<SuspectRequest> DecodeSuspects(
    const wire::fleet::SuspectRequests& in,
    TimePoint now) {
  std::vector<SuspectRequest> suspects;
  for (const auto& entry : in.requests()) {
    SuspectRequest suspect;
    suspect.fingerprint_ = DecodeContent(entry.request());
    suspect.crashes_ = entry.crashes();
    suspect.last_crash_ = now - FromMilliseconds(entry.last_crash_age_ms());
    suspect.blocked_until_ = now + FromMilliseconds(entry.blocked_ms());
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

}  // namespace citronlane
