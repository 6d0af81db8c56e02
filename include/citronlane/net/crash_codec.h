#ifndef CITRONLANE_NET_CRASH_CODEC_H_
#define CITRONLANE_NET_CRASH_CODEC_H_

#include <optional>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/routing/crash_ledger.h"
#include "citronlane/routing/server_crash.h"
#include "citronlane/routing/suspect_request.h"

namespace citronlane {

namespace wire::fleet {
class CrashReports;
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

/// Asks for a trial of the feature for the gateway.
void EncodeTrial(const RequestFeature& feature,
                 std::string_view gateway,
                 wire::fleet::CrashReports* out);
/// The feature that a trial is asked for; nothing if none is.
std::optional<RequestFeature> DecodeTrial(const wire::fleet::CrashReports& in);

/// Appends the requests to `out`.
void EncodeSuspects(absl::Span<const SuspectRequest> suspects,
                    TimePoint now,
                    wire::fleet::SuspectRequests* out);
std::vector<SuspectRequest> DecodeSuspects(
    const wire::fleet::SuspectRequests& in,
    TimePoint now);

}  // namespace citronlane

#endif  // CITRONLANE_NET_CRASH_CODEC_H_
