#ifndef CITRONLANE_RELAY_RELAY_SERVICE_H_
#define CITRONLANE_RELAY_RELAY_SERVICE_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/relay/relay_job.h"

namespace citronlane {

class HttpExchange;
struct HttpRequest;
struct RelayContext;

/// Takes callers' requests on a gateway: finds route and client account, and
/// serves what the configuration allows. Runs in the connections' handlers, on
/// the event loop's thread.
class RelayService {
 public:
  /// `context` outlives the object. At most `most_requests` are served at the
  /// same time: each takes memory.
  RelayService(const RelayContext* context, size_t most_requests);

  /// Answers one request.
  void Serve(const HttpRequest& request, HttpExchange* exchange);

  size_t requests_in_hand() const { return requests_in_hand_; }

 private:
  /// Fills `job`; a reason when the request is not to be served.
  std::optional<RefusalReason> Admit(const HttpRequest& request,
                                     RelayJob* job) const;
  void Refuse(const RelayJob& job,
              RefusalReason reason,
              HttpExchange* exchange) const;

  const RelayContext* const context_;
  const size_t most_requests_;
  size_t requests_in_hand_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_SERVICE_H_
