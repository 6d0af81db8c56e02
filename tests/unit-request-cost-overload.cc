#include <catch2/catch.hpp>

#include "support/engine_pool_cases.h"
#include "support/engine_pool_model.h"

namespace citronlane {
namespace {

using Way = EnginePoolModel::Way;
using Options = EnginePoolModel::Options;

/// Requests that wait for an engine while another one has nothing to do lose
/// at most this, well below what their callers accept.
constexpr double kMaxUnusedSeconds = 0.5;

}  // namespace

// Equal waits make all requests late at once, which no choice of an engine
// avoids.
TEST_CASE("callers of uneven engines beyond capacity lose nothing") {
  const double load = GENERATE(1.0, 1.2);
  INFO(load);
  const auto today = Play(Uneven(load), Way::kTokens);
  const auto learned = Play(Uneven(load), Way::kRoom);
  CHECK(learned.InTime() >= today.InTime());
  CHECK(learned.in_vain_ <= today.in_vain_);
  CHECK(learned.longest_unused_ <= kMaxUnusedSeconds);
}

TEST_CASE("long prompts beyond all memory lose nothing") {
  const Options options = WithLongPrompts(Uneven(0.9), 60'000);
  const auto today = Play(options, Way::kTokens);
  const auto learned = Play(options, Way::kRoom);
  CHECK(learned.InTime() >= today.InTime());
  CHECK(learned.in_vain_ <= today.in_vain_);
  CHECK(learned.preemptions_ <= today.preemptions_);
}

}  // namespace citronlane
