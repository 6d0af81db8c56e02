#ifndef CITRONLANE_GATEWAY_CALLER_HANDLER_H_
#define CITRONLANE_GATEWAY_CALLER_HANDLER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "citronlane/admission/admission_query.h"
#include "citronlane/base/time.h"
#include "citronlane/gateway/caller_request.h"
#include "citronlane/gateway/caller_service_parts.h"
#include "citronlane/gateway/crash_guard.h"
#include "citronlane/gateway/driver_job.h"
#include "citronlane/gateway/refusal_context.h"
#include "citronlane/gateway/request_claim.h"
#include "citronlane/gateway/request_summary.h"
#include "citronlane/gateway/response_writer.h"
#include "citronlane/request/finish_request.h"
#include "citronlane/serving/request_fingerprint.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

class HttpExchange;
class RequestDriver;
struct HttpRequest;
struct Refusal;

/// Serves one parsed request: claims its Idempotency-Key if it has one, asks
/// admission, runs the pipeline and sends exactly one response. Runs in the
/// coroutine of the caller's connection. Not thread safe; use once.
class CallerHandler {
 public:
  /// All references must outlive the handler.
  CallerHandler(const CallerServiceParts& parts,
                const DriverContext& context,
                const HttpRequest& http,
                CallerRequest request,
                RefusalContext refusal_context,
                HttpExchange* exchange);
  ~CallerHandler();

  /// Returns when the response was sent or the caller disconnected.
  void Run();

 private:
  bool TakeClaim();
  bool Admit();
  void Drive();
  DriverJob MakeJob();
  RequestPlan MakePlan() const;
  void RespondToClaim(ClaimAnswer answer);
  void SendCompleteResponse();
  void SendFinalEvents();
  HttpReply MakeCompleteResponse() const;
  void StoreAnswer(int status, std::string content_type, std::string body);
  void SendFailure();
  void Refuse(RefusalReason reason, Verdict verdict, std::string_view detail);
  HttpReply MakeFailure();
  void FlushText();
  bool SendStream(std::string_view bytes);
  CrashGuard::FingerprintHook FingerprintHook();
  const RequestFingerprint& Fingerprint();
  RequestSummary Summarize() const;
  bool MetTarget(const RequestSummary& summary) const;

  const CallerServiceParts& parts_;
  const DriverContext& context_;
  const HttpRequest& http_;
  const CallerRequest request_;
  RefusalContext refusal_context_;
  HttpExchange* const exchange_;
  const TimePoint start_;
  const ResponseWriter writer_;
  AdmissionQuery query_;
  std::unique_ptr<RequestClaim> claim_;
  std::shared_ptr<RequestDriver> driver_;
  std::optional<FinishRequest> finish_;
  std::optional<RequestFingerprint> fingerprint_;
  std::string pending_text_;
  /// All bytes sent of a streamed response, kept if it has to be stored.
  std::string sent_text_;
  bool stream_started_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_HANDLER_H_
