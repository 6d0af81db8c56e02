#include <catch2/catch.hpp>

#include <functional>
#include <iterator>
#include <string>
#include <vector>

#include "support/consensus_sim.h"

namespace citronlane {
namespace {

// Schedules of each kind; the three kinds together have over 10,000.
constexpr uint64_t kSchedules = 3400;
constexpr int kScheduleTicks = 220;
constexpr int kSettleTicks = 300;

std::string Describe(const ConsensusSim& sim, uint64_t seed) {
  std::string text = "seed " + std::to_string(seed);
  for (const std::string& fault : sim.faults()) {
    text += "; " + fault;
  }
  return text;
}

/// Injects faults that keep every disk: crashes, restarts, network partitions.
void InjectFault(ConsensusSim* sim) {
  const std::vector<uint64_t> ids = sim->Ids();
  const uint64_t id = ids[sim->Random(ids.size())];
  const uint64_t other = ids[sim->Random(ids.size())];
  switch (sim->Random(40)) {
    case 0:
      return sim->Partition({id});
    case 1:
      return sim->Partition({id, other});
    case 2:
    case 3:
      return sim->Heal();
    case 4:
      if (sim->Leader() != 0) {
        sim->Partition({sim->Leader()});
      }
      return;
    case 5:
      return sim->Crash(id);
    case 6:
    case 7:
      return sim->CutLink(id, other);
    default:
      return;
  }
}

void Load(ConsensusSim* sim) {
  if (sim->Chance(400)) {
    sim->Propose();
  }
  if (sim->Chance(150)) {
    sim->Read();
  }
}

/// Whether a leader commits again and all voters follow once all faults ended.
bool SettlesAfterFaults(ConsensusSim* sim) {
  sim->EndFaults();
  const uint64_t before = sim->committed();
  for (int i = 0; i < kSettleTicks; ++i) {
    sim->Tick();
    if (i % 20 == 0) {
      sim->Propose();
    }
    if (sim->committed() < before + 3) {
      continue;
    }
    bool all = true;
    for (const auto& [id, address] : sim->committed_membership().voters_) {
      all = all && (!sim->HasIntactDisk(id) ||
                    sim->At(id)->applied_index() + 1 >= sim->committed());
    }
    if (all) {
      return true;
    }
  }
  return false;
}

/// Adds, promotes or removes a node at random, as operators do.
void ChangeMembers(ConsensusSim* sim) {
  Membership next = sim->committed_membership();
  const std::vector<uint64_t> ids = sim->Ids();
  const uint64_t id = ids[sim->Random(ids.size())];
  switch (sim->Random(60)) {
    case 0:
      if (ids.size() < 7) {
        next.learners_[sim->AddNode()] = "node";
      }
      break;
    case 1:
      if (next.voters_.size() > 1) {
        next.voters_.erase(id);
      }
      break;
    case 2:
    case 3:
      if (next.learners_.erase(id) != 0) {
        next.voters_[id] = "node";
      }
      break;
    default:
      return;
  }
  sim->Change(next);
}

/// Loses the disk of one voter after another. A node with a new id replaces
/// each before the next disk is lost.
class DiskLosses {
 public:
  explicit DiskLosses(ConsensusSim* sim) : sim_(*sim) {}

  void Step() {
    if (lost_ == 0) {
      MaybeLose();
      return;
    }
    Membership next = sim_.committed_membership();
    const bool member = next.voters_.count(new_) != 0;
    const bool gone = next.voters_.count(lost_) == 0;
    if (member && gone) {
      sim_.Retire(lost_);
      lost_ = 0;
      ++repaired_;
    } else if (!gone && (member || remove_first_)) {
      next.voters_.erase(lost_);
      sim_.Change(next);
    } else if (next.learners_.erase(new_) != 0) {
      next.voters_[new_] = "node";
      sim_.Change(next);
    } else {
      next.learners_[new_] = "node";
      sim_.Change(next);
    }
  }

  uint64_t repaired() const { return repaired_; }

 private:
  // Only once every voter has the membership of the last repair.
  void MaybeLose() {
    const auto& voters = sim_.committed_membership().voters_;
    for (const auto& [id, address] : voters) {
      if (!sim_.IsUp(id) || sim_.At(id)->membership().voters_ != voters) {
        return;
      }
    }
    if (!sim_.Chance(100)) {
      return;
    }
    lost_ = std::next(voters.begin(),
                      static_cast<ptrdiff_t>(sim_.Random(voters.size())))
                ->first;
    remove_first_ = sim_.Chance(500);
    sim_.LoseDisk(lost_);
    new_ = sim_.AddNode();
  }

  ConsensusSim& sim_;
  uint64_t lost_ = 0;
  uint64_t new_ = 0;
  bool remove_first_ = false;
  uint64_t repaired_ = 0;
};

struct Totals {
  uint64_t committed_ = 0;
  uint64_t reads_ = 0;
  uint64_t snapshots_ = 0;
  uint64_t repaired_ = 0;
};

void RunSchedules(bool change_members, bool lose_disks, Totals* totals) {
  for (uint64_t seed = 1; seed <= kSchedules; ++seed) {
    ConsensusSim::Options options;
    options.seed_ = seed;
    options.voters_ = seed % 3 == 0 ? 5 : 3;
    ConsensusSim sim(options);
    DiskLosses losses(&sim);
    for (int i = 0; i < (lose_disks ? 2 : 1) * kScheduleTicks; ++i) {
      // Fewer faults: a repair needs a quorum of the remaining voters for a
      // while.
      if (!lose_disks || sim.Chance(200)) {
        InjectFault(&sim);
      }
      if (change_members) {
        ChangeMembers(&sim);
      }
      if (lose_disks) {
        losses.Step();
      }
      Load(&sim);
      sim.Tick();
    }
    const bool settles = SettlesAfterFaults(&sim);
    sim.CheckLogs();
    INFO(Describe(sim, seed));
    REQUIRE(sim.faults().empty());
    REQUIRE(settles);
    totals->committed_ += sim.committed();
    totals->reads_ += sim.confirmed_reads();
    totals->snapshots_ += sim.installed_snapshots();
    totals->repaired_ += losses.repaired();
  }
  INFO("committed " << totals->committed_ << ", reads " << totals->reads_
                    << ", snapshots " << totals->snapshots_ << ", repaired "
                    << totals->repaired_);
  // The schedules must have exercised commits, reads, snapshots and repairs.
  CHECK(totals->committed_ > 20 * kSchedules);
  CHECK(totals->reads_ > 2 * kSchedules);
  CHECK(totals->snapshots_ > kSchedules / 2);
  CHECK(totals->repaired_ >= (lose_disks ? kSchedules / 2 : 0));
}

}  // namespace

TEST_CASE("consensus keeps its rules") {
  Totals totals;
  SECTION("under crashes and cuts") {
    RunSchedules(false, false, &totals);
  }
  SECTION("while members come and go") {
    RunSchedules(true, false, &totals);
  }
  SECTION("while disks are lost one after the other") {
    RunSchedules(false, true, &totals);
  }
}

}  // namespace citronlane
