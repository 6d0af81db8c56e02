// Guards against a server that gets more requests than it has said it takes
// when many gateways share its limit, messages are late, and the gateway that
// places the requests is lost.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/routing/server_limits.h"
#include "support/call_windows.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Scope = ServerLimits::Scope;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kStep = milliseconds(5);
constexpr Duration kEnd = seconds(40);
constexpr Duration kWindow = seconds(4);
/// The limit holds from then on after the server first named it, for gateways
/// that have passed on such a reply this long ago.
constexpr Duration kFleetTime = seconds(3);
constexpr Duration kToldTime = milliseconds(500);
constexpr char kServer[] = "s";
/// When the server begins to name its limit.
constexpr Duration kLimitBegin = seconds(2);

struct Scenario {
  size_t gateways_ = 6;
  double per_second_ = 1;
  /// Requests a second that would go to the server.
  uint32_t demand_ = 40;
  Duration max_message_delay_ = milliseconds(20);
  /// The placement owner is lost as often; never when zero.
  Duration owner_lost_every_{};
};

/// Gateways that ask a placement owner for the server, in simulated time. An
/// owner that does not reply in time is passed over, and a lost one is replaced
/// by another gateway, which knows no limits.
class Fleet {
 public:
  Fleet(const Scenario& scenario, uint32_t seed)
      : scenario_(scenario), random_(seed) {
    for (size_t i = 0; i < scenario.gateways_; ++i) {
      gateways_.push_back(NewGateway(i));
    }
  }

  void Play() {
    for (; now_ < kStart + kEnd; now_ += kStep) {
      while (!messages_.empty() && messages_.begin()->first <= now_) {
        const auto what = std::move(messages_.begin()->second);
        messages_.erase(messages_.begin());
        what();
      }
      LoseOwner();
      if (Draw(200) < scenario_.demand_) {
        Ask(Draw(gateways_.size()));
      }
    }
  }

  /// The most calls in a window by gateways that had been told.
  size_t MostCounted() const { return MostInAWindow(counted_, kWindow); }
  size_t calls() const { return counted_.size(); }

 private:
  struct Gateway {
    std::unique_ptr<ServerLimits> limits_;
    /// When it first passed on a reply that named the limit.
    std::optional<TimePoint> told_;
  };

  static Gateway NewGateway(size_t index) {
    return {std::make_unique<ServerLimits>("gateway-" + std::to_string(index)),
            {}};
  }

  uint64_t Draw(uint64_t below) {
    return random_() % std::max<uint64_t>(1, below);
  }
  void Later(std::function<void()> what) {
    const auto most =
        static_cast<uint64_t>(scenario_.max_message_delay_ / milliseconds(1));
    messages_.emplace(now_ + milliseconds(Draw(most + 1)), std::move(what));
  }

  // For a moment no gateway is the owner, then another one is.
  void LoseOwner() {
    const Duration every = scenario_.owner_lost_every_;
    if (every > Duration() && (now_ - kStart) % every == Duration()) {
      owner_.reset();
      messages_.emplace(now_ + milliseconds(700),
                        [this] { owner_ = Draw(gateways_.size()); });
      // The lost one starts again and knows nothing.
      const size_t lost = Draw(gateways_.size());
      gateways_[lost] = NewGateway(lost);
    }
  }

  void Ask(size_t asker) {
    if (!owner_) {
      CallWithoutOwner(asker);
      return;
    }
    const size_t owner = *owner_;
    const auto known = gateways_[asker].limits_->RecordedSince(0);
    Later([this, asker, owner, known] {
      ServerLimits& limits = *gateways_[owner].limits_;
      for (const ServerLimit& limit : known) {
        limits.Observe(limit);
      }
      if (limits.MayCall(kServer, Scope::kOwner, gateways_.size(), now_)) {
        limits.OnCall(kServer, now_);
        Later([this, asker] { Call(asker); });
      } else {
        CallWithoutOwner(asker);
      }
    });
  }

  void CallWithoutOwner(size_t asker) {
    ServerLimits& limits = *gateways_[asker].limits_;
    if (limits.MayCall(kServer, Scope::kShareBesideOwner, gateways_.size(),
                       now_)) {
      limits.OnCall(kServer, now_);
      Call(asker);
    }
  }

  // The server gets the request now; its reply arrives later.
  void Call(size_t asker) {
    const bool names_limit = now_ >= kStart + kLimitBegin;
    const Gateway& gateway = gateways_[asker];
    if (gateway.told_ && now_ >= *gateway.told_ + kToldTime &&
        now_ >= kStart + kLimitBegin + kFleetTime) {
      counted_.push_back(now_);
    }
    Later([this, asker, names_limit] {
      Gateway& receiver = gateways_[asker];
      receiver.limits_->Observe(
          {kServer,
           names_limit ? std::optional(scenario_.per_second_) : std::nullopt,
           now_});
      if (names_limit && !receiver.told_) {
        receiver.told_ = now_;
      }
    });
  }

  const Scenario scenario_;
  std::mt19937 random_;
  TimePoint now_ = kStart;
  std::vector<Gateway> gateways_;
  std::optional<size_t> owner_ = 0;
  std::multimap<TimePoint, std::function<void()>> messages_;
  /// Calls that count against the limit, in the order of time.
  std::vector<TimePoint> counted_;
};

void Check(const std::string& title, const Scenario& scenario) {
  constexpr uint32_t kSeeds = 30;
  const double allowed = 1.5 * scenario.per_second_ * 4 + 5;
  size_t most = 0;
  size_t least_calls = SIZE_MAX;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet(scenario, seed);
    fleet.Play();
    INFO(title << ", seed " << seed);
    CHECK(static_cast<double>(fleet.MostCounted()) <= allowed);
    most = std::max(most, fleet.MostCounted());
    least_calls = std::min(least_calls, fleet.calls());
  }
  std::cout << title << ", " << scenario.per_second_ << " a second: " << most
            << " in 4 s at most, " << allowed
            << " allowed; calls in 35 s, least " << least_calls << "\n";
}

}  // namespace

TEST_CASE("a limited server in a fleet") {
  Scenario scenario;
  for (const double per_second : {1.0, 5.0, 20.0}) {
    scenario.per_second_ = per_second;
    scenario.gateways_ = 6;
    scenario.max_message_delay_ = milliseconds(20);
    scenario.owner_lost_every_ = Duration();
    Check("6 gateways", scenario);

    scenario.gateways_ = 360;
    Check("360 gateways", scenario);

    scenario.gateways_ = 59;
    scenario.max_message_delay_ = milliseconds(400);
    Check("59 gateways, messages up to 0.4 s late", scenario);

    scenario.owner_lost_every_ = seconds(5);
    Check("59 gateways, owner lost each 5 s, late messages", scenario);

    scenario.owner_lost_every_ = seconds(2);
    scenario.max_message_delay_ = milliseconds(100);
    Check("59 gateways, owner lost each 2 s", scenario);
  }
}

}  // namespace citronlane
