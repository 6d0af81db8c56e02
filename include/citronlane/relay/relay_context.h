#ifndef CITRONLANE_RELAY_RELAY_CONTEXT_H_
#define CITRONLANE_RELAY_RELAY_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "citronlane/serving/service.h"

namespace citronlane {

class CrashWatch;
class EnginePlacement;
class EventLog;
class FleetView;
class LimitWatch;
class Metrics;
class OriginWatch;
class PeerGateways;
class ReachWatch;
class RepeatBudget;
class ServiceRouter;
class StageClient;
class StageOwners;
struct Dialect;

/// Objects shared by the requests of one gateway. All outlive the requests and
/// are used on the event loop's thread.
struct RelayContext {
  boost::asio::io_context* io_ = nullptr;
  const Dialect* dialect_ = nullptr;
  const FleetView* view_ = nullptr;
  StageClient* client_ = nullptr;
  StageOwners* owners_ = nullptr;
  EnginePlacement* engines_ = nullptr;
  CrashWatch* crashes_ = nullptr;
  LimitWatch* limits_ = nullptr;
  ReachWatch* reach_ = nullptr;
  PeerGateways* peers_ = nullptr;
  OriginWatch* origins_ = nullptr;
  EventLog* log_ = nullptr;
  Metrics* metrics_ = nullptr;
  /// Router and repeat budget of a service, created on first use.
  std::function<ServiceRouter*(const Service& service)> router_;
  std::function<RepeatBudget*(const std::string& service)> budget_;
  /// Returns a random number below its argument, which must be at least 1.
  std::function<uint64_t(uint64_t)> random_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_RELAY_CONTEXT_H_
