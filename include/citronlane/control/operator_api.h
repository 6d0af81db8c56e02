#ifndef CITRONLANE_CONTROL_OPERATOR_API_H_
#define CITRONLANE_CONTROL_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/time.h"
#include "citronlane/control/replica.h"
#include "citronlane/state/config_proposer.h"

namespace citronlane {

class EventLog;
class FleetState;
class HttpExchange;
struct Dialect;
struct HttpReply;
struct HttpRequest;

/// The operators' side of a control VM: takes whole configurations, reads the
/// newest one back, and drains failure domains. Only the leader answers; the
/// others name it. Each tells its own metrics. Runs in the coroutines of its
/// listener, on the event loop's thread.
class OperatorApi {
 public:
  struct Hooks {
    /// Whether this VM leads and may answer.
    std::function<bool()> leads_;
    /// "IP:port" of the leader's operator address; empty when not known.
    std::function<std::string()> leader_;
    /// Brings a document into the replicated log.
    std::function<
        void(uint64_t version, std::string document, ConfigProposer::Done done)>
        submit_;
    /// Puts into the replicated log that a failure domain is drained, or no
    /// longer.
    std::function<void(const std::string& domain,
                       bool is_drained,
                       ConfigProposer::Done done)>
        set_drained_;
    std::function<void(Replica::ReadDone done)> read_;
    /// Whether as many voters hold what is committed as the tolerated losses
    /// need.
    std::function<bool()> has_all_voters_;
    /// Whether the gateways hold this version or a later one, but for those
    /// that have been silent for long.
    std::function<bool(uint64_t version)> gateways_hold_;
    /// What this VM knows of itself in the Prometheus text format.
    std::function<std::string()> metrics_;
  };

  /// All but the hooks' own state outlive the object.
  OperatorApi(boost::asio::io_context* io,
              const Dialect* dialect,
              const FleetState* state,
              EventLog* log,
              Hooks hooks);

  /// Answers one call.
  void Serve(const HttpRequest& request, HttpExchange* exchange);

 private:
  HttpReply Replace(const HttpRequest& request, HttpExchange* exchange);
  HttpReply Read(HttpExchange* exchange);
  HttpReply SetDrained(const std::string& domain,
                       bool is_drained,
                       HttpExchange* exchange);
  HttpReply Elsewhere(const HttpRequest& request) const;
  /// Waits until the condition holds. False at `until`, or when the caller has
  /// gone.
  bool WaitFor(HttpExchange* exchange,
               TimePoint until,
               const std::function<bool()>& condition);

  boost::asio::io_context* const io_;
  const Dialect* const dialect_;
  const FleetState* const state_;
  EventLog* const log_;
  const Hooks hooks_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_OPERATOR_API_H_
