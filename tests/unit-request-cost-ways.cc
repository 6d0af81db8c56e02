#include <catch2/catch.hpp>

#include <cstdio>
#include <string>
#include <vector>

#include "support/engine_pool_cases.h"
#include "support/engine_pool_model.h"

namespace citronlane {
namespace {

using Way = EnginePoolModel::Way;
using Options = EnginePoolModel::Options;

/// What a pool of alike engines may lose in share in time.
constexpr double kMaxLoss = 0.03;
/// A lasting difference is known after a few seconds.
constexpr double kMaxLearnSeconds = 5;
/// Requests that wait for an engine while another one has nothing to do lose
/// at most this, well below what their callers accept.
constexpr double kMaxUnusedSeconds = 0.5;

}  // namespace

TEST_CASE("callers of uneven engines are served in time more often") {
  const double load = GENERATE(0.6, 0.8, 0.9);
  INFO(load);
  const auto today = Play(Uneven(load), Way::kTokens);
  const auto learned = Play(Uneven(load), Way::kRoom);
  CHECK(learned.InTime() >= today.InTime());
  CHECK(learned.in_vain_ <= today.in_vain_);
  CHECK(learned.longest_unused_ <= kMaxUnusedSeconds);
}

TEST_CASE("callers of alike engines are served as before") {
  const double load = GENERATE(0.6, 0.8, 0.9, 1.0, 1.2);
  INFO(load);
  const auto today = Play(Alike(load), Way::kTokens);
  const auto learned = Play(Alike(load), Way::kRoom);
  CHECK(learned.InTime() >= today.InTime() - kMaxLoss);
}

TEST_CASE("a new owner is right after a few seconds") {
  const Options options = WithNewOwner(Uneven(0.9));
  const auto today = Play(options, Way::kTokens);
  const auto learned = Play(options, Way::kRoom);
  CHECK(learned.InTime() >= today.InTime());
  CHECK(learned.learned_after_ >= 0);
  CHECK(learned.learned_after_ <= kMaxLearnSeconds);
}

TEST_CASE("long prompts go where there is memory") {
  const Options options = WithLongPrompts(Uneven(0.9), 120'000);
  const auto today = Play(options, Way::kTokens);
  const auto learned = Play(options, Way::kRoom);
  CHECK(learned.InTime() >= today.InTime());
  CHECK(learned.preemptions_ <= today.preemptions_);
}

TEST_CASE("callers of alike engines with long prompts are served as before") {
  const double memory = GENERATE(60'000, 120'000);
  const Options options = WithLongPrompts(Alike(0.9), memory);
  const auto today = Play(options, Way::kTokens);
  const auto learned = Play(options, Way::kRoom);
  CHECK(learned.InTime() >= today.InTime() - kMaxLoss);
}

// Prints the table of docs/design/request-cost.md.
TEST_CASE("ways to place requests, compared", "[.ways]") {
  struct Case {
    std::string name_;
    Options options_;
  };
  std::vector<Case> cases;
  for (const double load : {0.6, 0.8, 0.9, 1.0, 1.2}) {
    cases.push_back({"uneven", Uneven(load)});
    cases.push_back({"alike", Alike(load)});
  }
  cases.push_back({"uneven, new owner at 15 s", WithNewOwner(Uneven(0.9))});
  for (const double memory : {45'000.0, 60'000.0, 120'000.0}) {
    cases.push_back({"uneven, long prompts, memory " +
                         std::to_string(static_cast<int>(memory)),
                     WithLongPrompts(Uneven(0.9), memory)});
  }
  constexpr const char* kNames[] = {"queue", "tokens", "work", "speeds",
                                    "room"};
  for (const Case& one : cases) {
    for (const Way way : {Way::kQueueLength, Way::kTokens, Way::kWork,
                          Way::kSpeeds, Way::kRoom}) {
      const auto result = Play(one.options_, way);
      std::printf(
          "%-36s load %.1f %-6s: in time %.4f vain %.4f preempted %d unused "
          "%.2f s learned after %.1f s\n",
          one.name_.c_str(), one.options_.load_, kNames[static_cast<int>(way)],
          result.InTime(), result.in_vain_, result.preemptions_,
          result.longest_unused_, result.learned_after_);
      if (one.options_.new_router_at_ > 0) {
        for (const double share : result.by_second_) {
          std::printf(" %.2f", share);
        }
        std::printf("\n");
      }
    }
  }
}

}  // namespace citronlane
