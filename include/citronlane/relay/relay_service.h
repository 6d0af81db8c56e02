#ifndef CITRONLANE_RELAY_RELAY_SERVICE_H_
#define CITRONLANE_RELAY_RELAY_SERVICE_H_

#include <cstddef>
#include <cstdint>
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
struct PeerRequestHead;
struct RelayContext;

/// Serves callers' requests on a gateway: finds the route and the client
/// account, admits what the configuration allows and hands it to RelayRequest.
/// Used in the connections' handlers, on the event loop's thread.
class RelayService {
 public:
  /// `context` must outlive the object. At most `max_requests` are served at
  /// the same time, and their stages have at most `max_pieces` together, since
  /// each takes memory.
  RelayService(const RelayContext* context,
               size_t max_requests,
               uint64_t max_pieces);

  /// Responds to one request. Suspends the handler.
  void Serve(const HttpRequest& request, HttpExchange* exchange);

  /// Responds to a request that another gateway forwarded. Suspends the
  /// handler.
  void ServeForwarded(const HttpRequest& request, HttpExchange* exchange);

  /// The process ends at `deadline`, which bounds the deadlines of requests
  /// from now on.
  void SetStopDeadline(TimePoint deadline) { stop_deadline_ = deadline; }
  /// Refuses requests that are read from now on as not run if their own time
  /// limit is after the stop deadline: they could be cut by it, and other
  /// gateways take them.
  void RefuseLate() { refuses_late_ = true; }
  /// The gateway received its first configuration or its first server list.
  void OnViewReady();
  /// Sends a final response to every request in flight. A connection closed
  /// without one would leave its caller without a verdict.
  void GiveUpAll();

  /// Whether the first request of a connection should be read while
  /// `open_requests` are being read or served. If not, its caller is better
  /// served by another gateway. Less than the maximum, since requests on
  /// connections that callers keep cannot go elsewhere unread.
  bool MayTakeFirst(size_t open_requests) const {
    return open_requests < max_requests_ - max_requests_ / kKeptDivisor;
  }

  /// Number of requests being served, without those that wait for the view.
  size_t requests_in_flight() const { return in_flight_.size(); }

 private:
  /// The capacity for requests on kept connections only is the maximum divided
  /// by this.
  static constexpr size_t kKeptDivisor = 8;

  /// Whether this gateway can serve a request that another one forwarded.
  bool MayServe(const PeerRequestHead& head) const;
  void ServeJob(const HttpRequest& request,
                RelayJob* job,
                HttpExchange* exchange);
  bool Await(const std::function<bool()>& condition,
             TimePoint arrived,
             const HttpRequest& request,
             HttpExchange* exchange);
  /// Fills `job`. Returns a reason when the request is refused.
  std::optional<RefusalReason> Admit(const HttpRequest& request,
                                     RelayJob* job) const;
  void Refuse(const RelayJob& job,
              RefusalReason reason,
              HttpExchange* exchange) const;

  const RelayContext* const context_;
  const size_t max_requests_;
  const uint64_t max_pieces_;
  uint64_t pieces_in_flight_ = 0;
  TimePoint stop_deadline_ = TimePoint::max();
  bool refuses_late_ = false;
  std::map<RelayRequest*, RelayJob*> in_flight_;
  std::set<std::shared_ptr<Waker>> awaiting_view_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_SERVICE_H_
