#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/state/fleet_state.h"
#include "support/consensus_sim.h"

namespace citronlane {
namespace {

// All times are ticks of the simulation, 5 ms each.
constexpr uint64_t kSchedules = 400;
constexpr int kScheduleTicks = 1200;
constexpr int kSettleTicks = 300;
constexpr int kResendTicks = 40;
constexpr int kGiveUpTicks = 200;
constexpr int kPauseTicks = 30;
constexpr uint64_t kMaxDelayTicks = 60;
constexpr uint64_t kShortDelayTicks = 2;
constexpr uint64_t kLost = 200;  // Of 1,000 requests and replies.
constexpr const char* kDomains[] = {"north-a", "north-b"};

FleetState StateAt(const ConsensusSim& sim, uint64_t id) {
  FleetState state;
  for (const std::string& command : sim.AppliedBy(id)) {
    state.Apply(command);
  }
  return state;
}

/// An operator that drains one failure domain and ends that, again and again,
/// at any control VM. Requests and replies are late or lost; an order without
/// a reply is sent again until it is given up. Control VMs don't propose an
/// order whose connection its operator has closed.
class Operator {
 public:
  Operator(ConsensusSim* sim, std::string domain)
      : sim_(*sim), domain_(std::move(domain)) {}

  void Tick() {
    ++tick_;
    Deliver();
    TakeReplies();
    if (is_waiting_ && tick_ - sent_at_ >= kResendTicks) {
      // Closes the connection of the former one.
      Send();
    }
    if (is_waiting_ && tick_ - ordered_at_ >= kGiveUpTicks) {
      is_waiting_ = false;
      ended_at_ = tick_;
      ++attempt_;
      given_up_ += 1;
    }
    if (!is_waiting_ && tick_ - ended_at_ >= kPauseTicks) {
      Order(!is_drained_);
    }
  }

  void Order(bool is_drained) {
    is_drained_ = is_drained;
    is_waiting_ = true;
    acknowledged_ = false;
    ordered_at_ = tick_;
    Send();
  }

  /// From now on requests and replies arrive, and soon.
  void EndFaults() {
    lost_ = 0;
    max_delay_ = kShortDelayTicks;
  }

  /// What every leader must know; nullopt while an order is in progress, and
  /// after one without a clear answer.
  std::optional<bool> Expected() const {
    return acknowledged_ ? std::optional<bool>(is_drained_) : std::nullopt;
  }
  bool is_waiting() const { return is_waiting_; }
  const std::string& domain() const { return domain_; }
  uint64_t acknowledged() const { return acknowledgements_; }
  uint64_t given_up() const { return given_up_; }

 private:
  struct Request {
    uint64_t attempt_ = 0;
    uint64_t node_ = 0;
    bool is_drained_ = false;
  };
  struct Proposed {
    uint64_t attempt_ = 0;
    uint64_t node_ = 0;
    ConsensusSim::Place place_;
  };

  void Send() {
    sent_at_ = tick_;
    ++attempt_;
    const std::vector<uint64_t> ids = sim_.Ids();
    for (const uint64_t id : ids) {
      if (!sim_.Chance(lost_)) {
        const int at = tick_ + static_cast<int>(sim_.Random(max_delay_));
        requests_.emplace(at, Request{attempt_, id, is_drained_});
      }
    }
  }

  // Requests of an attempt that is over have no open connection.
  void Deliver() {
    while (!requests_.empty() && requests_.begin()->first <= tick_) {
      const Request request = requests_.begin()->second;
      requests_.erase(requests_.begin());
      if (request.attempt_ != attempt_ || !sim_.Leads(request.node_)) {
        continue;
      }
      const auto place = sim_.ProposeAt(
          request.node_, DrainedDomains::Command(domain_, request.is_drained_));
      if (place) {
        proposed_.push_back({request.attempt_, request.node_, *place});
      }
    }
  }

  void TakeReplies() {
    for (auto it = proposed_.begin(); it != proposed_.end();) {
      if (!sim_.HasApplied(it->node_, it->place_)) {
        ++it;
        continue;
      }
      if (is_waiting_ && it->attempt_ == attempt_ && !sim_.Chance(lost_)) {
        is_waiting_ = false;
        acknowledged_ = true;
        ended_at_ = tick_;
        ++attempt_;
        ++acknowledgements_;
      }
      it = proposed_.erase(it);
    }
  }

  ConsensusSim& sim_;
  const std::string domain_;
  uint64_t lost_ = kLost;
  uint64_t max_delay_ = kMaxDelayTicks;
  int tick_ = 0;
  int sent_at_ = 0;
  int ordered_at_ = 0;
  int ended_at_ = 0;
  uint64_t attempt_ = 0;
  bool is_drained_ = false;
  bool is_waiting_ = false;
  bool acknowledged_ = false;
  uint64_t acknowledgements_ = 0;
  uint64_t given_up_ = 0;
  std::multimap<int, Request> requests_;
  std::vector<Proposed> proposed_;
};

void InjectFault(ConsensusSim* sim) {
  const std::vector<uint64_t> ids = sim->Ids();
  const uint64_t id = ids[sim->Random(ids.size())];
  switch (sim->Random(240)) {
    case 0:
      return sim->Partition({id});
    case 1:
      return sim->Partition({id, ids[sim->Random(ids.size())]});
    case 2:
      if (sim->Leader() != 0) {
        sim->Partition({sim->Leader()});
      }
      return;
    case 3:
      return sim->Crash(id);
    case 4:
      return sim->CutLink(id, ids[sim->Random(ids.size())]);
    case 5:
    case 6:
    case 7:
    case 8:
      return sim->Heal();
    default:
      return;
  }
}

/// The first difference between what operators were told and what a leader
/// would send to gateways; empty when there is none.
std::string Difference(const ConsensusSim& sim,
                       const std::vector<Operator>& operators) {
  for (const uint64_t id : sim.Ids()) {
    if (!sim.IsUp(id) || !sim.Leads(id)) {
      continue;
    }
    const FleetState state = StateAt(sim, id);
    for (const Operator& each : operators) {
      const auto expected = each.Expected();
      const bool is_drained = state.drained().names().count(each.domain()) != 0;
      if (expected && is_drained != *expected) {
        return each.domain() + (is_drained ? " drained" : " not drained") +
               " at node " + std::to_string(id);
      }
    }
  }
  return "";
}

}  // namespace

TEST_CASE("drain orders hold from their acknowledgement") {
  uint64_t acknowledged = 0;
  uint64_t given_up = 0;
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    ConsensusSim::Options options;
    options.seed_ = seed;
    options.voters_ = seed % 3 == 0 ? 5 : 3;
    ConsensusSim sim(options);
    std::vector<Operator> operators;
    for (const char* domain : kDomains) {
      operators.emplace_back(&sim, domain);
    }
    const auto tick = [&] {
      sim.Tick();
      for (Operator& each : operators) {
        each.Tick();
      }
    };
    std::string difference;
    for (int i = 0; i < kScheduleTicks && difference.empty(); ++i) {
      InjectFault(&sim);
      tick();
      difference = Difference(sim, operators);
    }
    INFO("seed " << seed);
    REQUIRE(difference.empty());
    REQUIRE(sim.faults().empty());

    // Both orders are acknowledged once the control VMs are stable.
    sim.EndFaults();
    uint64_t before = 0;
    for (Operator& each : operators) {
      each.EndFaults();
      before += each.acknowledged();
    }
    uint64_t after = before;
    for (int i = 0; i < kSettleTicks && after < before + 4; ++i) {
      tick();
      after = 0;
      for (const Operator& each : operators) {
        after += each.acknowledged();
      }
      REQUIRE(Difference(sim, operators).empty());
    }
    REQUIRE(after >= before + 4);
    for (const Operator& each : operators) {
      acknowledged += each.acknowledged();
      given_up += each.given_up();
    }
  }
  // The schedules must have exercised both ends of an order.
  CHECK(acknowledged > 10 * kSchedules);
  CHECK(given_up > kSchedules / 4);
}

}  // namespace citronlane
