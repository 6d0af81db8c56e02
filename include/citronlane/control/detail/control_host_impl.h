#ifndef CITRONLANE_CONTROL_DETAIL_CONTROL_HOST_IMPL_H_
#define CITRONLANE_CONTROL_DETAIL_CONTROL_HOST_IMPL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/cluster_member.h"
#include "citronlane/control/control_host.h"
#include "citronlane/control/gateway_feed.h"
#include "citronlane/control/operator_api.h"
#include "citronlane/control/origin_feed.h"
#include "citronlane/net/frame_listener.h"
#include "citronlane/net/server_list_reader.h"
#include "citronlane/observe/listener_events.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/state/config_proposer.h"
#include "citronlane/state/fleet_state.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/stage_client.h"

namespace citronlane {

class FrameChannel;

namespace wire::fleet {
class Frame;
class StreamOriginAsk;
}  // namespace wire::fleet

/// Implementation of ControlHost: connects the modules of a control VM. Used on
/// the event loop's thread.
class ControlHost::Impl {
 public:
  Impl(NodeSettings settings,
       SettingsHook read_settings,
       const Dialect* dialect,
       EventLog* log);

  bool Run(Error* error);

 private:
  std::string OperatorAddressOfLeader() const;
  OperatorApi::Hooks ApiHooks();
  HttpListenerHooks OperatorHooks();
  ConfigProposer::Hooks ProposerHooks();
  void Propose(std::string command, ConfigProposer::Done done);
  GatewayFeed::Leadership Leadership() const;
  const std::vector<PooledService>& PooledServices();
  void HandleFrame(const std::shared_ptr<FrameChannel>& channel,
                   wire::fleet::Frame* frame);
  void AnswerOrigin(FrameChannel* channel,
                    const wire::fleet::StreamOriginAsk& ask,
                    TimePoint now);
  void Tick(TimePoint now);
  void OnLeadsChanged(bool leads);
  void ReadServers(TimePoint now);
  void NoteColdTimes();
  void Reload();
  void Stop();

  const NodeSettings settings_;
  const SettingsHook read_settings_;
  const Dialect* const dialect_;
  EventLog* const log_;

  boost::asio::io_context io_{1};
  Metrics metrics_{Metrics::kDefaultMaxSeries, 1};
  const ListenerEvents listener_events_;
  FleetState state_;
  StageClient client_;
  ServerListReader list_reader_;
  GatewayFeed feed_;
  OriginFeed origins_;
  ClusterMember member_;
  ConfigProposer proposer_;
  OperatorApi api_;
  FrameListener internal_;
  HttpListener operators_;
  bool list_failing_ = false;
  /// No gateway can have used a server by then; nothing if that is not known.
  std::optional<TimePoint> servers_unused_until_;
  size_t invalid_cold_times_ = 0;
  std::vector<PooledService> pooled_services_;
  std::optional<uint64_t> pooled_services_version_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CONTROL_HOST_IMPL_H_
