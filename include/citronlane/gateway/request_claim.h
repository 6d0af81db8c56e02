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

/// The claim on one Idempotency-Key: taken before the first dispatch, then
/// finished with the answer or released. Suspends the handler while control
/// answers. Not thread safe; used on the connection's thread.
class RequestClaim {
 public:
  /// All pointers must outlive the claim. An answer of more than
  /// `max_stored_bytes` is replaced by a refusal that says so.
  RequestClaim(ClaimQuery query,
               const GatewayHooks* hooks,
               boost::asio::io_context* io,
               HttpExchange* exchange,
               uint64_t max_stored_bytes);

  /// Asks control. Call once, first.
  ClaimAnswer Take();

  /// Stores the answer; waits for control, but only a bounded time: the hook
  /// goes on trying. Precondition: Take gave kGranted; neither Finish nor
  /// Release was called.
  void Finish(const StoredAnswer& answer);

  /// Gives the key back. Precondition: as for Finish, and nothing ran.
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
