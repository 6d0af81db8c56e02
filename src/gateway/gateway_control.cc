#include "citronlane/gateway/gateway_control.h"

#include <utility>

#include "citronlane/gateway/gateway.h"
#include "citronlane/transport/control_client.h"

namespace citronlane {
namespace {

ControlClientOptions ClientOptions(const GatewayOptions& options) {
  ControlClientOptions client;
  client.gateway_ = options.name_;
  client.incarnation_ = options.incarnation_;
  client.failure_domain_ = options.failure_domain_;
  client.addresses_ = options.control_addresses_;
  client.lease_ = options.config_lease_;
  client.tls_ = options.control_tls_;
  return client;
}

}  // namespace

GatewayControl::GatewayControl(const GatewayOptions& options,
                               const GatewayHooks& hooks) {
  ControlClientHooks client_hooks;
  client_hooks.on_config_ =
      [this](std::shared_ptr<const ClusterConfig> config) {
        gateway_->ApplyConfig(std::move(config));
      };
  client_hooks.on_lease_ = [this](TimePoint until) {
    gateway_->ExtendLease(until);
  };
  client_hooks.on_leaving_ = [this](std::string_view server,
                                    uint64_t incarnation) {
    gateway_->OnServerLeaving(server, incarnation);
  };
  client_hooks.on_live_ = [this](std::string_view server,
                                 uint64_t incarnation) {
    gateway_->OnServerLive(server, incarnation);
  };
  client_hooks.on_share_ = [this](std::string_view class_name, double amount,
                                  TimePoint until) {
    gateway_->OnSpendShare(class_name, amount, until);
  };
  client_hooks.on_suspects_ = [this](const wire::SuspectList& list) {
    gateway_->OnSuspects(list);
  };
  client_hooks.take_usage_ = [this] { return gateway_->TakeUsage(); };
  client_hooks.log_ = hooks.log_;
  client_ = std::make_unique<ControlClient>(ClientOptions(options),
                                            std::move(client_hooks));
}

GatewayControl::~GatewayControl() = default;

void GatewayControl::Bind(GatewayHooks* hooks) {
  ControlClient* const client = client_.get();
  hooks->claim_ = [client](const ClaimQuery& query,
                           std::function<void(ClaimAnswer)> done) {
    client->Claim(query, std::move(done));
  };
  hooks->finish_claim_ = [client](const ClaimQuery& query,
                                  const StoredAnswer& answer,
                                  std::function<void(bool)> done) {
    client->Finish(query, answer, std::move(done));
  };
  hooks->release_claim_ = [client](const ClaimQuery& query,
                                   std::function<void(bool)> done) {
    client->Release(query, std::move(done));
  };
  hooks->report_refusals_ = [client](const std::vector<RefusalEntry>& refusals,
                                     uint64_t dropped) {
    return client->ReportRefusals(refusals, dropped);
  };
  hooks->report_leaving_ = [client](std::string_view server,
                                    uint64_t incarnation) {
    client->ReportLeaving(server, incarnation);
  };
  hooks->report_crashes_ = [client](const wire::fleet::CrashReports& reports) {
    client->ReportCrashes(reports);
  };
}

void GatewayControl::Start(Gateway* gateway) {
  gateway_ = gateway;
  client_->Start();
}

void GatewayControl::Stop() {
  client_->Stop();
}

}  // namespace citronlane
