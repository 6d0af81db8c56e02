#ifndef CITRONLANE_NET_CRASH_CODEC_H_
#define CITRONLANE_NET_CRASH_CODEC_H_

#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/crash_ledger.h"
#include "citronlane/routing/server_crash.h"
#include "citronlane/routing/suspect_request.h"

namespace citronlane {

namespace wire::fleet {
class RequestContent;
class RequestSurvival;
class ServerCrash;
class SuspectRequests;
}  // namespace wire::fleet

/// Times are sent as ages or remaining times, because the clocks of two VMs are
/// not comparable. All functions of this header are thread safe.
void EncodeContent(const RequestFingerprint& request,
                   wire::fleet::RequestContent* out);
RequestFingerprint DecodeContent(const wire::fleet::RequestContent& in);

void EncodeCrash(const ServerCrash& crash,
                 TimePoint now,
                 wire::fleet::ServerCrash* out);
ServerCrash DecodeCrash(const wire::fleet::ServerCrash& in, TimePoint now);

void EncodeSurvival(const CrashLedger::Survival& survival,
                    TimePoint now,
                    wire::fleet::RequestSurvival* out);
CrashLedger::Survival DecodeSurvival(const wire::fleet::RequestSurvival& in,
                                     TimePoint now);

/// Appends the requests to `out`.
void EncodeSuspects(absl::Span<const SuspectRequest> suspects,
                    TimePoint now,
                    wire::fleet::SuspectRequests* out);
std::vector<SuspectRequest> DecodeSuspects(
    const wire::fleet::SuspectRequests& in,
    TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_NET_CRASH_CODEC_H_
