#include "policy/simulation.h"

#include "policy/traffic.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPublishInterval = milliseconds(300);
constexpr Duration kExchangeInterval = milliseconds(200);
constexpr Duration kExchangeLag = milliseconds(50);
constexpr Duration kCacheEventLag = milliseconds(500);
/// One of this many cache events is lost.
constexpr uint64_t kCacheEventLoss = 50;
/// Delay of the platform's server list.
constexpr Duration kListLag = seconds(2);
constexpr Duration kDownTime = seconds(1);
constexpr Duration kDrainCheck = milliseconds(100);
constexpr Duration kRestartInterval = seconds(4);
/// Time after which the load balancer notices a lost gateway.
constexpr Duration kBalancerLag = milliseconds(500);

}  // namespace

Simulation::Simulation(const Deployment& deployment,
                       const Scenario& scenario,
                       const PolicyOptions& options,
                       uint64_t seed)
    : deployment_(deployment),
      scenario_(scenario),
      peer_loads_(options.peer_loads_),
      random_(seed) {
  result_.deployment_ = deployment.name_;
  result_.scenario_ = scenario.name_;
  result_.policy_ = options.name_;
  traffic_ = MakeTraffic(deployment_, scenario_, seed);
  MakeServers();
  MakeGateways(options, seed);
}

void Simulation::MakeServers() {
  for (const PoolModel& pool : deployment_.pools_) {
    for (int i = 0; i < pool.servers_; ++i) {
      const std::string id = pool.name_ + "-" + std::to_string(i);
      backends_[id] = std::make_unique<ServerModel>(
          pool, id, i % deployment_.domains_, &queue_,
          [this, id, name = pool.name_](uint64_t sequence, uint64_t prefix,
                                        bool stored) {
            SendCacheEvent(name, id, sequence, prefix, stored);
          });
    }
  }
}

void Simulation::MakeGateways(const PolicyOptions& options, uint64_t seed) {
  for (int i = 0; i < deployment_.gateways_; ++i) {
    gateways_.push_back(std::make_unique<GatewayModel>(
        "gateway-" + std::to_string(i), i % deployment_.domains_, deployment_,
        options, seed + static_cast<uint64_t>(i) + 1, &queue_, &backends_,
        &result_));
    gateways_.back()->SetWindow(TimePoint(scenario_.measure_from_),
                                TimePoint(scenario_.measure_to_));
  }
}

template <typename Change>
void Simulation::OnAllRouters(const std::string& pool, const Change& change) {
  for (const auto& gateway : gateways_) {
    if (gateway->alive()) {
      change(&gateway->router(pool));
    }
  }
}

void Simulation::SendCacheEvent(const std::string& pool,
                                const std::string& server,
                                uint64_t sequence,
                                uint64_t prefix,
                                bool stored) {
  if (random_() % kCacheEventLoss == 0) {
    return;
  }
  queue_.After(kCacheEventLag, [this, pool, server, sequence, prefix, stored] {
    OnAllRouters(pool, [&](PoolRouter* router) {
      router->OnCacheEvent(server, sequence, prefix, stored);
    });
  });
}

void Simulation::PublishLoads() {
  for (const auto& [id, server] : backends_) {
    server->PublishLoad();
  }
  queue_.After(kPublishInterval, [this] { PublishLoads(); });
}

void Simulation::ExchangeLoads() {
  for (const auto& from : gateways_) {
    if (!from->alive()) {
      continue;
    }
    for (const auto& [id, server] : backends_) {
      const std::string pool = id.substr(0, id.rfind('-'));
      const double load = from->InFlightAt(id);
      queue_.After(kExchangeLag, [this, from = from.get(), id = &id, pool,
                                  load] {
        for (const auto& to : gateways_) {
          if (to->alive() && to.get() != from) {
            to->router(pool).OnPeerLoad(from->name(), *id, queue_.now(), load);
          }
        }
      });
    }
  }
  queue_.After(kExchangeInterval, [this] { ExchangeLoads(); });
}

void Simulation::ScheduleTraffic() {
  for (const RequestSpec& spec : traffic_) {
    queue_.At(spec.arrival_, [this, &spec] {
      const Duration at = spec.arrival_.time_since_epoch();
      const bool measured =
          at >= scenario_.measure_from_ && at < scenario_.measure_to_;
      for (size_t i = 0; i < gateways_.size(); ++i) {
        GatewayModel& gateway =
            *gateways_[(spec.gateway_draw_ + i) % gateways_.size()];
        if (gateway.alive()) {
          gateway.Arrive(spec, measured);
          return;
        }
      }
    });
  }
}

std::vector<ServerModel*> Simulation::Targets(const Fault& fault) {
  std::vector<ServerModel*> targets;
  for (int i = fault.first_; i < fault.first_ + fault.count_; ++i) {
    targets.push_back(
        backends_.at(fault.pool_ + "-" + std::to_string(i)).get());
  }
  return targets;
}

void Simulation::Restart(ServerModel* server, const std::string& pool) {
  server->Restart();
  queue_.After(kListLag, [this, server, pool] {
    OnAllRouters(pool, [&](PoolRouter* router) {
      router->OnAlive(server->id(), server->incarnation(), queue_.now());
    });
  });
}

void Simulation::RestartOneByOne(const Fault& fault) {
  Duration begin = fault.begin_;
  for (ServerModel* server : Targets(fault)) {
    queue_.At(TimePoint(begin), [this, server, pool = fault.pool_] {
      const uint64_t leaving = server->incarnation();
      // The platform marks the server first; the list and the drain follow.
      queue_.After(kListLag, [this, server, pool, leaving] {
        OnAllRouters(pool, [&](PoolRouter* router) {
          router->OnLeaving(server->id(), leaving, queue_.now());
        });
        server->Drain();
        auto check = std::make_shared<std::function<void()>>();
        *check = [this, server, pool, check] {
          if (!server->idle()) {
            queue_.After(kDrainCheck, *check);
            return;
          }
          server->Crash(false);
          queue_.After(kDownTime,
                       [this, server, pool] { Restart(server, pool); });
        };
        (*check)();
      });
    });
    begin += kRestartInterval;
  }
}

void Simulation::LoseDomain(const Fault& fault) {
  queue_.At(TimePoint(fault.begin_), [this, fault] {
    for (const auto& [id, server] : backends_) {
      if (server->domain() == fault.first_) {
        server->Crash(true);
      }
    }
  });
  // Its gateways are lost too; the load balancer uses the others after a lag.
  for (size_t i = 0; i < gateways_.size(); ++i) {
    if (static_cast<int>(i) % deployment_.domains_ == fault.first_) {
      queue_.At(TimePoint(fault.begin_ + kBalancerLag),
                [this, i] { gateways_[i]->Lose(); });
    }
  }
  queue_.At(TimePoint(fault.end_), [this, fault] {
    for (const auto& [id, server] : backends_) {
      if (server->domain() == fault.first_) {
        Restart(server.get(), id.substr(0, id.rfind('-')));
      }
    }
  });
}

void Simulation::ScheduleFault(const Fault& fault) {
  if (fault.kind_ == Fault::Kind::kDomainLoss) {
    LoseDomain(fault);
    return;
  }
  if (fault.kind_ == Fault::Kind::kRollingRestart) {
    RestartOneByOne(fault);
    return;
  }
  for (ServerModel* server : Targets(fault)) {
    queue_.At(TimePoint(fault.begin_), [server, fault] {
      switch (fault.kind_) {
        case Fault::Kind::kSlow:
          server->SetSlow(fault.factor_);
          break;
        case Fault::Kind::kStop:
          server->Stop();
          break;
        case Fault::Kind::kErrors:
          server->SetErrors(true);
          break;
        default:
          server->Crash(false);
      }
    });
    queue_.At(TimePoint(fault.end_), [this, server, fault] {
      if (fault.kind_ == Fault::Kind::kSlow) {
        server->SetSlow(1);
      } else {
        Restart(server, fault.pool_);
      }
    });
  }
}

RunResult Simulation::Run() {
  PublishLoads();
  if (peer_loads_) {
    ExchangeLoads();
  }
  ScheduleTraffic();
  for (const Fault& fault : scenario_.faults_) {
    ScheduleFault(fault);
  }
  queue_.Run(TimePoint(scenario_.length_));
  const PoolModel& engines = deployment_.pools_.front();
  result_.engine_time_ = (scenario_.measure_to_ - scenario_.measure_from_) *
                         engines.servers_ * engines.slots_;
  return result_;
}

}  // namespace citronlane
