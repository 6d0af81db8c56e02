#ifndef CITRONLANE_GATEWAY_REQUEST_CLAIM_H_
#define CITRONLANE_GATEWAY_REQUEST_CLAIM_H_

#include <cstdint>

#include "citronlane/base/time.h"
#include "citronlane/gateway/claim_answer.h"
#include "citronlane/gateway/claim_query.h"
#include "citronlane/gateway/stored_answer.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace citronlane {

class HttpExchange;
struct GatewayHooks;

/// The claim on one Idempotency-Key: taken before the first stage call, then
/// either finished with the answer or released. Suspends the handler's
/// coroutine while it waits for the control VMs. Not thread safe; used on the
/// connection's thread.
class RequestClaim {
 public:
  /// All pointers must outlive the claim. `max_stored_bytes` is only kept for
  /// max_stored_bytes(): the caller must not pass a larger answer to Finish.
  RequestClaim(ClaimQuery query,
               const GatewayHooks* hooks,
               boost::asio::io_context* io,
               HttpExchange* exchange,
               uint64_t max_stored_bytes);

  /// Claims the key and waits for the reply. Call once, before the others.
  ClaimAnswer Take();

  /// Stores the answer. Waits for the control VMs for a limited time only;
  /// GatewayHooks::finish_claim_ retries in the background after that.
  /// Precondition: Take returned kGranted, and neither Finish nor Release was
  /// called.
  void Finish(const StoredAnswer& answer);

  /// Releases the key without waiting. Precondition: as for Finish, and nothing
  /// of the request ran.
  void Release();

  uint64_t max_stored_bytes() const { return max_stored_bytes_; }

 private:
  const ClaimQuery query_;
  const GatewayHooks* const hooks_;
  boost::asio::io_context* const io_;
  HttpExchange* const exchange_;
  const uint64_t max_stored_bytes_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_REQUEST_CLAIM_H_
