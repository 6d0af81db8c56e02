#include "citronlane/routing/engine_router.h"

#include <algorithm>
#include <limits>

#include "citronlane/fleet/rendezvous.h"
#include "citronlane/routing/detail/prompt_tokens.h"

namespace citronlane {
namespace {

/// A prefill of this many tokens doubles the cost of each running request, and
/// the surcharge grows by the square: prefill slows down with the length
/// already read, and delays the events of the requests that run beside it.
constexpr double kLongPromptTokens = 8000;
/// Cost of the prefill of a token that another engine has cached, in tokens of
/// waiting: weighs what the extra work costs users against the delay of this
/// request.
constexpr double kDuplicatePrefillWeight = 4;
/// Engines keep a segment at least this long after its last use.
constexpr Duration kMinSegmentRetention = std::chrono::seconds(15);
/// Cost of a fetch from another failure domain, in prompt tokens.
constexpr double kTokensPerRemoteMegabyte = 150;
constexpr double kBytesPerMegabyte = 1e6;
/// After a failure an engine gets no new requests for this long; the time
/// doubles with each consecutive failure, up to the maximum.
constexpr Duration kInitialSuspension = std::chrono::milliseconds(500);
constexpr Duration kMaxSuspension = std::chrono::seconds(4);
constexpr int kMaxSuspensionDoublings = 3;

bool IsFailure(CallOutcome outcome) {
  return outcome != CallOutcome::kSuccess &&
         outcome != CallOutcome::kCancelled &&
         outcome != CallOutcome::kRejected;
}

}  // namespace

void EngineRouter::Update(absl::Span<const BackendServer* const> servers) {
  std::map<std::string, Engine, std::less<>> next;
  for (const BackendServer* server : servers) {
    Engine engine;
    if (Engine* known = Find(server->id_)) {
      engine = *known;
    }
    engine.id_ = server->id_;
    engine.failure_domain_ = server->failure_domain_;
    engine.leaving_ = server->leaving_;
    next.emplace(server->id_, std::move(engine));
  }
  engines_ = std::move(next);
  holders_.clear();
  for (const auto& [id, engine] : engines_) {
    for (const auto& [segment, last_use] : engine.segment_last_use_) {
      holders_[segment].insert(&engine);
    }
  }
}

EngineRouter::Engine* EngineRouter::Find(std::string_view id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

double EngineRouter::Cost(const Engine& engine,
                          const TimeFactors& factors,
                          double prefill,
                          double penalty,
                          const Call& call) {
  const bool is_far =
      !call.near_.empty() && engine.failure_domain_ != call.near_;
  const double fetch = is_far ? static_cast<double>(call.input_bytes_) /
                                    kBytesPerMegabyte * kTokensPerRemoteMegabyte
                              : 0;
  const double length = prefill / kLongPromptTokens;
  return prefill * factors.prefill_ + penalty + fetch +
         engine.pending_prefill_tokens_ * factors.prefill_ +
         engine.running_ * kTokensPerRunningRequest * (1 + length * length) *
             factors.decode_;
}

const EngineRouter::Engine* EngineRouter::PreferredEngine(
    absl::Span<const Engine* const> engines,
    const Call& call) const {
  const std::string_view key = SharedSegmentId(call.prompt_);
  const Engine* preferred = nullptr;
  uint64_t highest = 0;
  for (const Engine* engine : engines) {
    const uint64_t weight = RendezvousWeight(key, engine->id_);
    if (preferred == nullptr || weight > highest) {
      preferred = engine;
      highest = weight;
    }
  }
  return preferred;
}

// Whether any engine used the call's shared segment within the reuse window.
bool EngineRouter::IsWarm(TimePoint now, const Call& call) const {
  const std::string_view key = SharedSegmentId(call.prompt_);
  const Holders* holders = HoldersOf(key);
  return holders != nullptr &&
         std::any_of(holders->begin(), holders->end(),
                     [&](const Engine* engine) {
                       const auto used = engine->segment_last_use_.find(key);
                       return used != engine->segment_last_use_.end() &&
                              now - used->second <= reuse_window_;
                     });
}

const EngineRouter::Holders* EngineRouter::HoldersOf(
    std::string_view segment) const {
  const auto it = holders_.find(segment);
  return it == holders_.end() ? nullptr : &it->second;
}

std::optional<std::string> EngineRouter::Choose(
    TimePoint now,
    const Call& call,
    absl::Span<const std::string> excluded) {
  std::vector<const Engine*> usable;
  std::vector<const Engine*> suspended;
  for (const auto& [id, engine] : engines_) {
    const bool is_excluded =
        (!call.required_domain_.empty() &&
         engine.failure_domain_ != call.required_domain_) ||
        std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    if (!engine.leaving_ && !is_excluded) {
      (engine.suspended_until_ > now ? suspended : usable).push_back(&engine);
    }
  }
  // When all are suspended, one of them is better than none.
  const auto& candidates = usable.empty() ? suspended : usable;
  const bool is_warm = call.sees_all_requests_ && IsWarm(now, call);
  // Of a warm segment the holders count, not the preferred engine.
  const Engine* preferred =
      is_warm ? nullptr : PreferredEngine(candidates, call);
  const Holders* holders = HoldersOf(SharedSegmentId(call.prompt_));
  const double shared = AllTokens(call.prompt_) - OwnTokens(call.prompt_);
  const Need need = NeedOf(now, call);
  const Engine* best = nullptr;
  double least = std::numeric_limits<double>::max();
  for (const Engine* engine : candidates) {
    const bool is_preferred = engine == preferred;
    const bool is_cached =
        call.sees_all_requests_
            ? holders != nullptr && holders->count(engine) != 0
            : is_preferred;
    const double prefill = OwnTokens(call.prompt_) + (is_cached ? 0 : shared);
    // A segment that no engine used lately is steered to its preferred engine,
    // where gateways that see only their own requests assume it is cached.
    const double penalty = is_cached      ? 0
                           : is_warm      ? kDuplicatePrefillWeight * shared
                           : is_preferred ? 0
                                          : shared;
    const TimeFactors factors = FactorsOf(*engine, now);
    const double cost = Cost(*engine, factors, prefill, penalty, call) +
                        RoomWait(*engine, factors, need, call);
    if (cost < least) {
      best = engine;
      least = cost;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->id_);
}

std::string EngineRouter::PreferredFailureDomain(TimePoint now,
                                                 const Call& call) {
  const auto id = Choose(now, call, {});
  return id ? Find(*id)->failure_domain_ : std::string();
}

void EngineRouter::Expect(std::string_view server,
                          TimePoint now,
                          const Call& call) {
  Engine* engine = Find(server);
  const std::string_view key = SharedSegmentId(call.prompt_);
  if (engine == nullptr || key.empty()) {
    return;
  }
  for (auto it = engine->segment_last_use_.begin();
       it != engine->segment_last_use_.end();) {
    if (now - it->second <= kMinSegmentRetention) {
      ++it;
      continue;
    }
    const auto holders = holders_.find(it->first);
    holders->second.erase(engine);
    if (holders->second.empty()) {
      holders_.erase(holders);
    }
    it = engine->segment_last_use_.erase(it);
  }
  engine->segment_last_use_[std::string(key)] = now;
  holders_[std::string(key)].insert(engine);
}

double EngineRouter::OnStart(std::string_view server,
                             TimePoint now,
                             const Call& call) {
  Engine* engine = Find(server);
  if (engine == nullptr) {
    return 0;
  }
  const bool is_cached =
      engine->segment_last_use_.count(SharedSegmentId(call.prompt_)) != 0;
  const double prefill =
      is_cached ? OwnTokens(call.prompt_) : AllTokens(call.prompt_);
  engine->running_ += 1;
  engine->pending_prefill_tokens_ += prefill;
  Expect(server, now, call);
  return prefill;
}

void EngineRouter::OnFirstEvent(std::string_view server, double tokens) {
  if (Engine* engine = Find(server)) {
    engine->pending_prefill_tokens_ =
        std::max(0.0, engine->pending_prefill_tokens_ - tokens);
    engine->consecutive_failures_ = 0;
  }
}

void EngineRouter::OnFinish(std::string_view server,
                            TimePoint now,
                            CallOutcome outcome,
                            double unread) {
  Engine* engine = Find(server);
  if (engine == nullptr) {
    return;
  }
  engine->running_ = std::max(0.0, engine->running_ - 1);
  engine->pending_prefill_tokens_ =
      std::max(0.0, engine->pending_prefill_tokens_ - unread);
  if (IsFailure(outcome)) {
    const int doublings =
        std::min(engine->consecutive_failures_, kMaxSuspensionDoublings);
    engine->suspended_until_ =
        now + std::min(kMaxSuspension, kInitialSuspension * (1 << doublings));
    ++engine->consecutive_failures_;
  }
}

}  // namespace citronlane
