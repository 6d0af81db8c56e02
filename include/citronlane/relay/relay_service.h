#ifndef CITRONLANE_RELAY_RELAY_SERVICE_H_
#define CITRONLANE_RELAY_RELAY_SERVICE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/time.h"
#include "citronlane/relay/relay_job.h"

namespace citronlane {

class HttpExchange;
class RelayRequest;
class Waker;
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

  /// The process ends at `deadline`: no request is taken that takes longer.
  void SetStopDeadline(TimePoint deadline) { stop_deadline_ = deadline; }
  /// The gateway has its first configuration, or its first list of servers.
  void ViewArrived();
  /// Gives every caller in hand a final answer now. A connection that closes
  /// without one leaves its caller not knowing what happened.
  void GiveUpAll();

  size_t requests_in_hand() const { return in_hand_.size(); }

 private:
  bool Await(const std::function<bool()>& condition,
             TimePoint arrived,
             const HttpRequest& request,
             HttpExchange* exchange);
  /// Fills `job`; a reason when the request is not to be served.
  std::optional<RefusalReason> Admit(const HttpRequest& request,
                                     RelayJob* job) const;
  void Refuse(const RelayJob& job,
              RefusalReason reason,
              HttpExchange* exchange) const;

  const RelayContext* const context_;
  const size_t most_requests_;
  TimePoint stop_deadline_ = TimePoint::max();
  std::map<RelayRequest*, RelayJob*> in_hand_;
  std::set<std::shared_ptr<Waker>> awaiting_view_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_SERVICE_H_
