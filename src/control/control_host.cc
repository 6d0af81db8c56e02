#include "citronlane/control/control_host.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/control/detail/control_host_impl.h"
#include "citronlane/net/endpoint.h"
#include "citronlane/net/frame_channel.h"
#include "citronlane/net/process_signals.h"
#include "citronlane/net/repeating_timer.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/transport/http_limits.h"
#include "citronlane/transport/stage_limits.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;

/// Half a heartbeat interval of the consensus.
constexpr Duration kTick = std::chrono::milliseconds(40);
constexpr Duration kFeedInterval = std::chrono::milliseconds(200);
/// A leaving server must be noticed within seconds, and each call costs the
/// platform.
constexpr Duration kServerListInterval = std::chrono::milliseconds(500);
/// The settings file may change without a signal; reading it is cheap.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);
/// From the stop signal to the end: enough for a leadership transfer and for
/// operators' calls in progress.
constexpr auto kShutdownDelay = std::chrono::milliseconds(600);
/// Maximum size of a document that an operator may send.
constexpr uint64_t kDocumentBytes = uint64_t{8} << 20;
constexpr size_t kMinOperatorConnections = 2;
constexpr size_t kMaxOperatorConnections = 576;
/// Shares of the VM for operators, as divisors of the whole.
constexpr uint64_t kOperatorMemoryDivisor = 8;
constexpr size_t kOperatorDescriptorDivisor = 6;
/// Shares for other processes of the fleet.
constexpr uint32_t kPeerDescriptorDivisor = 2;
constexpr uint64_t kPeerMemoryDivisor = 8;

HttpLimits OperatorLimits(const NodeSettings& settings) {
  HttpLimits limits;
  limits.body_bytes_ = kDocumentBytes;
  limits.memory_bytes_ =
      (uint64_t{settings.memory_mb_} << 20) / kOperatorMemoryDivisor;
  limits.SetConnections(std::clamp<size_t>(
      settings.UsableDescriptors() / kOperatorDescriptorDivisor,
      kMinOperatorConnections, kMaxOperatorConnections));
  return limits;
}

FrameListener::Limits PeerLimits(const NodeSettings& settings) {
  return {settings.UsableDescriptors() / kPeerDescriptorDivisor,
          (uint64_t{settings.memory_mb_} << 20) / kPeerMemoryDivisor};
}

}  // namespace

ControlHost::Impl::Impl(NodeSettings settings,
                        SettingsHook read_settings,
                        const Dialect* dialect,
                        EventLog* log)
    : settings_(std::move(settings)),
      read_settings_(std::move(read_settings)),
      dialect_(dialect),
      log_(log),
      listener_events_("control", log, &metrics_),
      client_(&io_, StageLimits()),
      list_reader_(&client_, dialect, settings_.server_list_address_),
      feed_(
          &state_,
          log,
          [this] { return Leadership(); },
          [this] { return PooledServices(); }),
      origins_(log),
      member_(
          &io_,
          settings_,
          &state_,
          log,
          ClusterMember::Hooks{[this](bool leads) { OnLeadsChanged(leads); },
                               [this] { feed_.PushAll(SteadyNow()); }}),
      proposer_(&state_.config(), ProposerHooks()),
      api_(&io_, dialect, &state_, log, ApiHooks()),
      internal_(
          &io_,
          settings_.internal_listen_,
          FrameListener::Hooks{
              [this](const std::shared_ptr<FrameChannel>& channel,
                     Frame* frame) { HandleFrame(channel, frame); },
              [this](const FrameChannel* channel) { feed_.OnClosed(channel); },
              [this](bool closed_silent) {
                listener_events_.OnPeersFull(closed_silent);
              }},
          PeerLimits(settings_)),
      operators_({&io_}, OperatorLimits(settings_), OperatorHooks()) {}

bool ControlHost::Impl::Run(Error* error) {
  std::error_code ignored;
  std::filesystem::create_directories(settings_.data_dir_, ignored);
  const auto operators = ParseEndpoint(settings_.operator_listen_);
  if (!operators) {
    error->message_ = "the settings name no address for operators";
    return false;
  }
  if (!internal_.Start(error) ||
      !operators_.Listen(operators->address().to_string(), operators->port(),
                         error)) {
    return false;
  }
  const ProcessSignals signals(
      &io_, ProcessSignals::Hooks{[this] { Stop(); }, [this] { Reload(); }});
  const RepeatingTimer tick(&io_, kTick, [this](TimePoint now) { Tick(now); });
  const RepeatingTimer feed(&io_, kFeedInterval,
                            [this](TimePoint now) { feed_.PushAll(now); });
  const RepeatingTimer list(&io_, kServerListInterval,
                            [this](TimePoint now) { ReadServers(now); });
  const RepeatingTimer reload(&io_, kSettingsInterval,
                              [this](TimePoint) { Reload(); });
  log_->Write("control", "started",
              {{"operators", settings_.operator_listen_},
               {"internal", settings_.internal_listen_},
               {"first_start", settings_.first_start_ ? "yes" : "no"}});
  io_.run();
  log_->Write("control", "stopped", {});
  return true;
}

void ControlHost::Impl::Propose(std::string command,
                                ConfigProposer::Done done) {
  const TimePoint now = SteadyNow();
  if (member_.Leads(now) && state_.config().is_empty()) {
    // Gateways use servers only once there is a configuration.
    servers_unused_until_ = now;
  }
  member_.Propose(
      std::move(command),
      [this, done = std::move(done)](const std::optional<std::string>& result,
                                     const Error& error) {
        // Posted, since the log that calls this must not be re-entered.
        boost::asio::post(
            io_, [done, is_committed = result.has_value(),
                  reason = error.message_] { done(is_committed, reason); });
      });
}

GatewayFeed::Leadership ControlHost::Impl::Leadership() const {
  GatewayFeed::Leadership leadership;
  leadership.leads_ = member_.Leads(SteadyNow());
  leadership.leader_ = member_.leader();
  leadership.members_ = member_.members();
  leadership.term_ = member_.term();
  return leadership;
}

// Documents are parsed once per version: large ones take milliseconds.
const std::vector<PooledService>& ControlHost::Impl::PooledServices() {
  const ConfigRegister& held = state_.config();
  if (held.is_empty() || pooled_services_version_ == held.version()) {
    return pooled_services_;
  }
  pooled_services_version_ = held.version();
  std::vector<std::string> faults;
  const auto config = dialect_->read_config_(held.document(), &faults);
  if (!config) {
    log_->Write("control", "config invalid",
                {{"version", held.version()},
                 {"faults", static_cast<uint64_t>(faults.size())}});
    return pooled_services_;
  }
  pooled_services_ = PooledServicesOf(*config);
  return pooled_services_;
}

void ControlHost::Impl::HandleFrame(
    const std::shared_ptr<FrameChannel>& channel,
    Frame* frame) {
  const TimePoint now = SteadyNow();
  if (frame->has_watch()) {
    feed_.Watch(channel, frame->watch(), now);
  } else if (frame->has_config_held()) {
    feed_.ConfirmConfig(channel.get(), frame->config_held(), now);
  } else if (frame->has_crash_reports()) {
    feed_.TakeCrashes(frame->crash_reports(), now);
  } else if (frame->has_server_limits()) {
    feed_.TakeLimits(frame->server_limits(), now);
  } else if (frame->has_stream_origins()) {
    origins_.Take(frame->stream_origins(), now);
  } else if (frame->has_versions_seen()) {
    origins_.Take(frame->versions_seen(), now);
  } else if (frame->has_origin_ask()) {
    AnswerOrigin(channel.get(), frame->origin_ask(), now);
  } else {
    member_.HandleFrame(channel, frame, now);
  }
}

void ControlHost::Impl::AnswerOrigin(FrameChannel* channel,
                                     const wire::fleet::StreamOriginAsk& ask,
                                     TimePoint now) {
  Frame frame;
  origins_.AnswerTo(ask, member_.Leads(now), now,
                    frame.mutable_origin_answer());
  channel->Send(frame);
}

// Gateways report often; their reports are passed on together.
void ControlHost::Impl::Tick(TimePoint now) {
  for (const Frame& frame : origins_.TakeCopies(now)) {
    member_.SendToMembers(frame);
  }
  member_.Tick(now);
}

void ControlHost::Impl::OnLeadsChanged(bool leads) {
  const TimePoint now = SteadyNow();
  if (leads) {
    feed_.StartLeading(now);
    ReadServers(now);
  }
  feed_.PushAll(now);
}

void ControlHost::Impl::ReadServers(TimePoint now) {
  if (!member_.Leads(now)) {
    return;
  }
  list_reader_.Read([this](std::optional<std::vector<BackendServer>> servers,
                           const Error& error) {
    if (servers) {
      if (std::exchange(list_failing_, false)) {
        log_->Write("control", "server list regained", {});
      }
      NoteColdTimes();
      const TimePoint read = SteadyNow();
      // Gateways use servers only once there is a configuration.
      origins_.SetServers(*servers, servers_unused_until_, read);
      feed_.SetServers(std::move(*servers), list_reader_.unusable(), read);
    } else if (!std::exchange(list_failing_, true)) {
      log_->Write("control", "server list lost", {{"reason", error.message_}});
    }
  });
}

void ControlHost::Impl::NoteColdTimes() {
  const size_t before =
      std::exchange(invalid_cold_times_, list_reader_.invalid_cold_times());
  if (invalid_cold_times_ != before) {
    log_->Write("control", "cold times invalid",
                {{"servers", static_cast<uint64_t>(invalid_cold_times_)}});
  }
}

void ControlHost::Impl::Reload() {
  if (const auto settings = read_settings_()) {
    member_.SetSeeds(settings->seeds_);
  }
}

void ControlHost::Impl::Stop() {
  log_->Write("control", "stopping", {});
  operators_.CloseAfterReplies();
  member_.TransferLeadership();
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, kShutdownDelay);
  timer->async_wait(
      [this, timer](const boost::system::error_code&) { io_.stop(); });
}

ControlHost::ControlHost(NodeSettings settings,
                         SettingsHook read_settings,
                         const Dialect* dialect,
                         EventLog* log)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(read_settings),
                                   dialect,
                                   log)) {}

ControlHost::~ControlHost() = default;

bool ControlHost::Run(Error* error) {
  return impl_->Run(error);
}

}  // namespace citronlane
