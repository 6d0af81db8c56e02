#ifndef CITRONLANE_CONTROL_OPERATOR_API_H_
#define CITRONLANE_CONTROL_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/time.h"
#include "citronlane/control/replica.h"
#include "citronlane/routing/suspect_request.h"
#include "citronlane/state/config_proposer.h"

namespace citronlane {

class EventLog;
class FleetState;
class HttpExchange;
struct Dialect;
struct HttpReply;
struct HttpRequest;

/// The operators' HTTP API of a control VM: replaces the configuration, returns
/// the newest one, drains failure domains, and lists requests under which
/// backend servers crashed. Only the leader serves these calls; the other VMs
/// redirect to it. Every VM serves its own metrics. Runs in the coroutines of
/// its listener, on the event loop's thread.
class OperatorApi {
 public:
  struct Hooks {
    /// Whether this VM leads and may serve calls.
    std::function<bool()> leads_;
    /// "IP:port" of the leader's operator address; empty when not known.
    std::function<std::string()> leader_;
    /// Submits a document to the replicated log.
    std::function<
        void(uint64_t version, std::string document, ConfigProposer::Done done)>
        submit_;
    /// Submits the drain of a failure domain, or its end, to the replicated
    /// log.
    std::function<void(const std::string& domain,
                       bool is_drained,
                       ConfigProposer::Done done)>
        set_drained_;
    /// Whether a listed backend server is in the failure domain.
    std::function<bool(const std::string& domain)> has_servers_;
    /// Starts a linearizable read; see Replica::Read.
    std::function<void(Replica::ReadDone done)> read_;
    /// Whether there are as many voters as the tolerated losses need.
    std::function<bool()> has_all_voters_;
    /// Whether all connected gateways hold this version or a later one; see
    /// GatewayFeed::IsHeldByAll.
    std::function<bool(uint64_t version)> gateways_hold_;
    /// Returns this VM's metrics in the Prometheus text format.
    std::function<std::string()> metrics_;
    /// Requests under which backend servers crashed.
    std::function<std::vector<SuspectRequest>()> suspects_;
    /// Lifts the blocks of all of them.
    std::function<void()> clear_suspects_;
  };

  /// The pointers must outlive this object.
  OperatorApi(boost::asio::io_context* io,
              const Dialect* dialect,
              const FleetState* state,
              EventLog* log,
              Hooks hooks);

  /// Serves one call. Suspends the calling coroutine while it waits for the
  /// log.
  void Serve(const HttpRequest& request, HttpExchange* exchange);

  /// Number of orders to drain a failure domain that no listed server was in.
  uint64_t unknown_domain_orders() const { return unknown_domain_orders_; }

 private:
  HttpReply Replace(const HttpRequest& request, HttpExchange* exchange);
  HttpReply Read(HttpExchange* exchange);
  HttpReply SetDrained(const std::string& domain,
                       bool is_drained,
                       HttpExchange* exchange);
  HttpReply ServeSuspects(std::string_view method) const;
  HttpReply RedirectToLeader(const HttpRequest& request) const;
  /// Waits until the condition holds. Returns false at `until`, or when the
  /// operator has closed the connection.
  bool WaitFor(HttpExchange* exchange,
               TimePoint until,
               const std::function<bool()>& condition);

  boost::asio::io_context* const io_;
  const Dialect* const dialect_;
  const FleetState* const state_;
  EventLog* const log_;
  const Hooks hooks_;
  uint64_t unknown_domain_orders_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_OPERATOR_API_H_
