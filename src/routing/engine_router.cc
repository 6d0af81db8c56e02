#include "citronlane/routing/engine_router.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "citronlane/fleet/rendezvous.h"

namespace citronlane {
namespace {

/// What one more running request costs the next prompt, in prompt tokens: it
/// lengthens each step a little.
constexpr double kTokensPerRunning = 40;
/// A prompt of this many tokens costs each request that runs beside it as much
/// again, and a longer one by the square: reading takes longer the more was
/// read before, and makes the pauses between the events of others too long.
constexpr double kLongPrompt = 8000;
/// What reading a token again costs that another engine keeps, in tokens of
/// waiting: what it costs users, against a request that is late.
constexpr double kReadAgain = 4;
/// Engines keep a part at least this long after its last use.
constexpr Duration kKeptTime = std::chrono::seconds(15);
/// What a fetch from another failure domain costs, in prompt tokens a megabyte.
constexpr double kTokensPerFarMegabyte = 150;
constexpr double kBytesPerMegabyte = 1e6;
/// After a failure an engine gets no new requests for this long, twice as long
/// after each further one in a row, up to the last value.
constexpr Duration kFirstSuspension = std::chrono::milliseconds(500);
constexpr Duration kLongestSuspension = std::chrono::seconds(4);
constexpr int kMostDoublings = 3;

uint32_t AllTokens(const EngineRouter::Call& call) {
  uint32_t tokens = 0;
  for (const PromptPart& part : call.prompt_) {
    tokens += part.tokens_;
  }
  return tokens;
}

// Tokens of the last part, which no other request shares.
uint32_t OwnTokens(const EngineRouter::Call& call) {
  return call.prompt_.empty() ? 0 : call.prompt_.back().tokens_;
}

// The last shared part names what a home keeps.
std::string_view HomeKey(const EngineRouter::Call& call) {
  if (call.prompt_.empty()) {
    return {};
  }
  const size_t last = call.prompt_.size() - 1;
  return call.prompt_[last == 0 ? 0 : last - 1].id_;
}

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
}

EngineRouter::Engine* EngineRouter::Find(std::string_view id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

double EngineRouter::Cost(const Engine& engine,
                          double reads,
                          double again,
                          const Call& call) {
  const bool is_far =
      !call.near_.empty() && engine.failure_domain_ != call.near_;
  const double fetch = is_far ? static_cast<double>(call.input_bytes_) /
                                    kBytesPerMegabyte * kTokensPerFarMegabyte
                              : 0;
  const double length = reads / kLongPrompt;
  return reads + again + fetch + engine.reading_tokens_ +
         engine.running_ * kTokensPerRunning * (1 + length * length);
}

const EngineRouter::Engine* EngineRouter::HomeOf(
    absl::Span<const Engine* const> engines,
    const Call& call) const {
  const std::string_view key = HomeKey(call);
  const Engine* home = nullptr;
  uint64_t highest = 0;
  for (const Engine* engine : engines) {
    const uint64_t weight = RendezvousWeight(key, engine->id_);
    if (home == nullptr || weight > highest) {
      home = engine;
      highest = weight;
    }
  }
  return home;
}

// Whether any engine has used the call's shared part lately.
bool EngineRouter::IsWarm(TimePoint now, const Call& call) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const auto& kept = entry.second.kept_;
    const auto used = kept.find(HomeKey(call));
    return used != kept.end() && now - used->second <= reuse_window_;
  });
}

std::optional<std::string> EngineRouter::Choose(
    TimePoint now,
    const Call& call,
    absl::Span<const std::string> excluded) {
  std::vector<const Engine*> usable;
  std::vector<const Engine*> suspended;
  for (const auto& [id, engine] : engines_) {
    const bool is_out =
        (!call.only_in_.empty() && engine.failure_domain_ != call.only_in_) ||
        std::find(excluded.begin(), excluded.end(), id) != excluded.end();
    if (!engine.leaving_ && !is_out) {
      (engine.suspended_until_ > now ? suspended : usable).push_back(&engine);
    }
  }
  // When all have failed, one that failed is better than none.
  const auto& candidates = usable.empty() ? suspended : usable;
  const Engine* home = HomeOf(candidates, call);
  const bool is_warm = call.sees_all_ && IsWarm(now, call);
  const double shared = AllTokens(call) - OwnTokens(call);
  const Engine* best = nullptr;
  double least = std::numeric_limits<double>::max();
  for (const Engine* engine : candidates) {
    const bool is_home = engine == home;
    const bool keeps_it =
        call.sees_all_ ? engine->kept_.count(HomeKey(call)) != 0 : is_home;
    const double reads = OwnTokens(call) + (keeps_it ? 0 : shared);
    // What nobody has used lately goes home for the sake of gateways that must
    // choose by themselves.
    const double again = keeps_it  ? 0
                         : is_warm ? kReadAgain * shared
                         : is_home ? 0
                                   : shared;
    const double cost = Cost(*engine, reads, again, call);
    if (cost < least) {
      best = engine;
      least = cost;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->id_);
}

std::string EngineRouter::HomeDomain(TimePoint now, const Call& call) {
  const auto id = Choose(now, call, {});
  return id ? Find(*id)->failure_domain_ : std::string();
}

void EngineRouter::Expect(std::string_view server,
                          TimePoint now,
                          const Call& call) {
  Engine* engine = Find(server);
  const std::string_view key = HomeKey(call);
  if (engine == nullptr || key.empty()) {
    return;
  }
  for (auto it = engine->kept_.begin(); it != engine->kept_.end();) {
    it = now - it->second > kKeptTime ? engine->kept_.erase(it) : std::next(it);
  }
  engine->kept_[std::string(key)] = now;
}

double EngineRouter::OnStart(std::string_view server,
                             TimePoint now,
                             const Call& call) {
  Engine* engine = Find(server);
  if (engine == nullptr) {
    return 0;
  }
  const bool keeps_it = engine->kept_.count(HomeKey(call)) != 0;
  const double reads = keeps_it ? OwnTokens(call) : AllTokens(call);
  engine->running_ += 1;
  engine->reading_tokens_ += reads;
  Expect(server, now, call);
  return reads;
}

void EngineRouter::OnFirstEvent(std::string_view server, double tokens) {
  if (Engine* engine = Find(server)) {
    engine->reading_tokens_ = std::max(0.0, engine->reading_tokens_ - tokens);
    engine->failures_in_row_ = 0;
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
  engine->reading_tokens_ = std::max(0.0, engine->reading_tokens_ - unread);
  if (IsFailure(outcome)) {
    const int doublings = std::min(engine->failures_in_row_, kMostDoublings);
    engine->suspended_until_ =
        now + std::min(kLongestSuspension, kFirstSuspension * (1 << doublings));
    ++engine->failures_in_row_;
  }
}

}  // namespace citronlane
