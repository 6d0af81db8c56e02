#include "citronlane/gateway/gateway.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/config/cluster_config.h"
#include "citronlane/gateway/admission_gate.h"
#include "citronlane/gateway/caller_service.h"
#include "citronlane/gateway/crash_guard.h"
#include "citronlane/gateway/detail/gateway_shard.h"
#include "citronlane/gateway/gateway_state.h"
#include "citronlane/gateway/pool_shards.h"
#include "citronlane/gateway/refusal_backlog.h"
#include "citronlane/gateway/refusal_writer.h"
#include "citronlane/gateway/usage_meter.h"
#include "citronlane/net/connect_probe.h"
#include "citronlane/process/detail/unix_time.h"
#include "citronlane/process/machine_limits.h"
#include "citronlane/transport/fit_http_limits.h"
#include "citronlane/transport/http_listener.h"
#include "citronlane/transport/listener_log.h"

namespace citronlane {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kFlushInterval{200};
constexpr std::chrono::milliseconds kDrainPollInterval{10};
/// How long connections may take to close after the last response.
constexpr std::chrono::seconds kConnectionCloseTimeout{2};
constexpr std::chrono::seconds kFinalFlushTimeout{5};

RouterOptions MakeRouterOptions(const GatewayOptions& options) {
  RouterOptions router;
  router.failure_domain_ = options.failure_domain_;
  return router;
}

}  // namespace

class Gateway::Impl {
 public:
  Impl(GatewayOptions options, GatewayHooks hooks)
      : options_(std::move(options)),
        hooks_(std::move(hooks)),
        identity_(options_.name_ + "-" +
                  std::to_string(options_.incarnation_ != 0
                                     ? options_.incarnation_
                                     : detail::UnixMilliseconds())),
        pools_(MakeRouterOptions(options_),
               options_.hedge_budget_,
               options_.retry_budget_),
        admission_(AdmissionOptions()),
        backlog_(options_.refusal_backlog_, hooks_.report_refusals_),
        refusals_(identity_,
                  options_.receipt_key_,
                  [this](const auto& entry, bool admitted) {
                    OnRefusal(entry, admitted);
                  }),
        usage_(SteadyNow()),
        crashes_(identity_, MakeCrashHooks()) {
    for (size_t i = 0; i < std::max<size_t>(1, options_.threads_); ++i) {
      shards_.push_back(MakeShard());
    }
    service_ = std::make_unique<CallerService>(MakeParts());
    listener_ = MakeListener();
  }

  /// Destroys the listener before the shards, whose io_context its socket uses.
  ~Impl() { listener_.reset(); }

  bool Start(Error* error) {
    if (!listener_->Listen(options_.address_, options_.port_, error)) {
      return false;
    }
    for (const auto& shard : shards_) {
      shard->thread_ = std::thread([io = &shard->io_] { io->run(); });
    }
    maintenance_ = std::thread([this] { Maintain(); });
    Log("serving callers on " + options_.address_ + ":" +
        std::to_string(listener_->port()) + " as " + identity_);
    return true;
  }

  bool ApplyConfig(std::shared_ptr<const ClusterConfig> config) {
    const std::lock_guard lock(config_mutex_);
    if (config->version_ <= state_.config_version()) {
      return false;
    }
    // Pools and limits are updated first, so that a request that reads the new
    // version finds everything it refers to.
    const TimePoint now = SteadyNow();
    pools_.Update(*config, now);
    admission_.Update(*config, now);
    const uint64_t version = config->version_;
    state_.ApplyConfig(std::move(config));
    Log("configuration " + std::to_string(version) + " is in force");
    return true;
  }

  void Shutdown() {
    state_.BeginDrain();
    listener_->CloseAfterReplies();
    const std::lock_guard lock(stop_mutex_);
    stopping_ = true;
    stop_changed_.notify_all();
  }

  bool Wait() {
    if (maintenance_.joinable()) {
      maintenance_.join();
    }
    for (const auto& shard : shards_) {
      shard->work_.reset();
      shard->io_.stop();
      if (shard->thread_.joinable()) {
        shard->thread_.join();
      }
    }
    return !aborted_;
  }

  void OnLeaving(std::string_view server, uint64_t incarnation) {
    pools_.OnLeaving(server, incarnation, SteadyNow());
  }

  const GatewayOptions options_;
  const GatewayHooks hooks_;
  const std::string identity_;
  GatewayState state_;
  PoolShards pools_;
  AdmissionGate admission_;
  RefusalBacklog backlog_;
  RefusalWriter refusals_;
  UsageMeter usage_;
  ListenerLog listener_log_{
      "callers",
      {[this](std::string_view line) { Log(line); }, SteadyNow}};
  CrashGuard crashes_;
  std::unique_ptr<CallerService> service_;
  // Destroyed before the service: destroying the shards ends the handlers that
  // were aborted, and these still refer to the service.
  std::vector<std::unique_ptr<detail::GatewayShard>> shards_;
  // Destroyed before the shards, whose io_context its acceptor uses.
  std::unique_ptr<HttpListener> listener_;

 private:
  CrashGuard::Hooks MakeCrashHooks() {
    CrashGuard::Hooks hooks;
    hooks.send_ = [this](const wire::fleet::CrashReports& reports) {
      if (hooks_.report_crashes_) {
        hooks_.report_crashes_(reports);
      }
    };
    hooks.probe_ = [this](const std::string& endpoint,
                          std::function<void(bool)> done) {
      asio::io_context* const io = &shards_.front()->io_;
      asio::post(*io, [io, endpoint, done = std::move(done)] {
        ProbeListener(io, endpoint, done);
      });
    };
    hooks.log_ = [this](std::string_view line) { Log(line); };
    hooks.now_ = SteadyNow;
    return hooks;
  }

  std::unique_ptr<detail::GatewayShard> MakeShard() {
    return std::make_unique<detail::GatewayShard>(
        options_.stage_limits_, &pools_, &crashes_, &hooks_.events_,
        [this](std::string_view server) {
          OnLeaving(server, 0);
          if (hooks_.report_leaving_) {
            hooks_.report_leaving_(server, 0);
          }
        });
  }

  CallerServiceParts MakeParts() {
    CallerServiceParts parts;
    parts.identity_ = identity_;
    parts.state_ = &state_;
    parts.pools_ = &pools_;
    parts.admission_ = &admission_;
    parts.refusals_ = &refusals_;
    parts.hooks_ = &hooks_;
    parts.stored_answer_bytes_ = options_.stored_answer_bytes_;
    for (const auto& shard : shards_) {
      parts.contexts_.push_back(&shard->context_);
    }
    parts.on_request_ = [this](const RequestSummary& summary) {
      usage_.Add(summary.class_name_, summary.Cost());
      if (hooks_.events_.on_request_) {
        hooks_.events_.on_request_(summary);
      }
    };
    return parts;
  }

  std::unique_ptr<HttpListener> MakeListener() {
    std::vector<asio::io_context*> contexts;
    for (const auto& shard : shards_) {
      contexts.push_back(&shard->io_);
    }
    HttpListenerHooks hooks;
    hooks.serve_ = [this](size_t shard, const HttpRequest& request,
                          HttpExchange* exchange) {
      service_->Serve(shard, request, exchange);
    };
    hooks.refuse_ = [this](RefusalReason reason) {
      listener_log_.OnRefused(reason);
      if (hooks_.events_.on_unread_) {
        hooks_.events_.on_unread_(reason);
      }
      return service_->RefuseUnread(reason);
    };
    hooks.place_lost_ = [this](std::string_view phase, Duration stall) {
      listener_log_.OnPlaceLost(phase, stall);
      if (hooks_.events_.on_place_lost_) {
        hooks_.events_.on_place_lost_(phase);
      }
    };
    return std::make_unique<HttpListener>(
        std::move(contexts),
        FitHttpLimits(options_.http_limits_, ReadMachineLimits()),
        std::move(hooks));
  }

  void OnRefusal(const RefusalEntry& entry, bool admitted) {
    std::string line = "refused " + entry.id_;
    line.append(" reason=").append(ToString(entry.reason_));
    line.append(" verdict=").append(ToString(entry.verdict_));
    line.append(" account=").append(entry.account_);
    line.append(" class=").append(entry.class_name_);
    line.append(" target=").append(entry.target_);
    line.append(" version=").append(std::to_string(entry.config_version_));
    Log(line);
    if (hooks_.report_refusals_) {
      backlog_.Add(entry);
    }
    if (hooks_.events_.on_refusal_) {
      hooks_.events_.on_refusal_(entry, admitted);
    }
  }

  void Log(std::string_view line) const {
    if (hooks_.log_) {
      hooks_.log_(line);
    }
  }

  /// Body of the maintenance thread: flushes refusals until the shutdown
  /// begins, then drains.
  void Maintain() {
    std::unique_lock lock(stop_mutex_);
    while (!stopping_) {
      stop_changed_.wait_for(lock, kFlushInterval,
                             [this] { return stopping_; });
      lock.unlock();
      FlushRefusals();
      lock.lock();
    }
    lock.unlock();
    Drain();
  }

  /// Returns whether no refusal is left to send.
  bool FlushRefusals() {
    const bool empty = !hooks_.report_refusals_ || backlog_.Flush();
    const uint64_t dropped = backlog_.dropped();
    if (dropped > dropped_reported_ && hooks_.events_.on_unrecorded_) {
      hooks_.events_.on_unrecorded_(dropped - dropped_reported_);
    }
    dropped_reported_ = dropped;
    return empty;
  }

  void Drain() {
    Log("draining: reporting not ready, still accepting new requests");
    std::this_thread::sleep_for(options_.drain_notice_);
    state_.RefuseNewWork();
    Log("draining: refusing new requests");
    aborted_ = !WaitUntil(options_.drain_limit_,
                          [this] { return listener_->active_requests() == 0; });
    listener_->StopAccepting();
    WaitUntil(kConnectionCloseTimeout,
              [this] { return listener_->connections() == 0; });
    WaitUntil(kFinalFlushTimeout, [this] { return FlushRefusals(); });
    Log(aborted_ ? "stopped; requests in flight were aborted at the drain limit"
                 : "stopped; no requests were aborted");
  }

  template <typename Condition>
  static bool WaitUntil(Duration limit, Condition condition) {
    const TimePoint end = SteadyNow() + limit;
    while (!condition()) {
      if (SteadyNow() >= end) {
        return false;
      }
      std::this_thread::sleep_for(kDrainPollInterval);
    }
    return true;
  }

  std::thread maintenance_;
  std::mutex config_mutex_;
  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  bool stopping_ = false;
  uint64_t dropped_reported_ = 0;
  std::atomic<bool> aborted_{false};
};

Gateway::Gateway(GatewayOptions options, GatewayHooks hooks)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(hooks))) {}

Gateway::~Gateway() = default;

bool Gateway::Start(Error* error) {
  return impl_->Start(error);
}

uint16_t Gateway::port() const {
  return impl_->listener_->port();
}

bool Gateway::ApplyConfig(std::shared_ptr<const ClusterConfig> config) {
  return impl_->ApplyConfig(std::move(config));
}

uint64_t Gateway::config_version() const {
  return impl_->state_.config_version();
}

void Gateway::ExtendLease(TimePoint until) {
  impl_->state_.ExtendLease(until);
}

void Gateway::OnServerLeaving(std::string_view server, uint64_t incarnation) {
  impl_->OnLeaving(server, incarnation);
}

void Gateway::OnServerLive(std::string_view server, uint64_t incarnation) {
  impl_->pools_.OnAlive(server, incarnation, SteadyNow());
}

void Gateway::OnSuspects(const wire::SuspectList& list) {
  impl_->crashes_.Take(list);
}

void Gateway::OnSpendShare(std::string_view class_name,
                           double amount,
                           TimePoint until) {
  impl_->admission_.OnSpendShare(class_name, amount, until);
}

std::vector<ClassUsage> Gateway::TakeUsage() {
  return impl_->usage_.Take(SteadyNow());
}

bool Gateway::ready() const {
  return impl_->state_.Ready(SteadyNow());
}

size_t Gateway::connections() const {
  return impl_->listener_->connections();
}

size_t Gateway::requests_in_flight() const {
  return impl_->listener_->active_requests();
}

uint64_t Gateway::refusals_dropped() const {
  return impl_->backlog_.dropped();
}

void Gateway::Shutdown() {
  impl_->Shutdown();
}

bool Gateway::Wait() {
  return impl_->Wait();
}

const std::string& Gateway::identity() const {
  return impl_->identity_;
}

}  // namespace citronlane
