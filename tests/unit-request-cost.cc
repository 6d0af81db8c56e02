#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>
#include <string>

#include "citronlane/routing/request_cost_model.h"

namespace citronlane {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

RequestFacts FactsOf(std::string_view route, std::string_view account) {
  RequestFacts facts;
  facts.route_ = route;
  facts.account_ = account;
  facts.segment_tokens_ = 3000;
  facts.max_output_tokens_ = 1000;
  return facts;
}

}  // namespace

TEST_CASE("the cost of a request is estimated from earlier ones") {
  RequestCostModel model;
  TimePoint now;
  RequestFacts facts = FactsOf("chat", "a");

  SECTION("segments that the engine holds are not read") {
    facts.held_tokens_ = 2500;
    CHECK(model.Estimate(now, facts).prefill_.expected_ == 500);
    facts.held_tokens_ = 9000;
    CHECK(model.Estimate(now, facts).prefill_.expected_ == 0);
  }

  SECTION("nothing is known of the output before requests have run") {
    facts.expected_output_tokens_ = 70;
    const RequestCost cost = model.Estimate(now, facts);
    CHECK(cost.output_.expected_ == 0);
    CHECK(cost.memory_.expected_ == 3070);
    CHECK(cost.memory_.upper_ == 4000);
  }

  SECTION("a route's output is learned with its spread") {
    for (int i = 0; i < 100; ++i) {
      model.Learn(now, facts, i % 2 == 0 ? 40 : 60);
    }
    const RequestCost::Amount output = model.Estimate(now, facts).output_;
    CHECK(output.expected_ > 40);
    CHECK(output.expected_ < 60);
    CHECK(output.upper_ > output.expected_);
    CHECK(output.upper_ < 80);
    CHECK(model.Estimate(now, FactsOf("other", "a")).output_.expected_ == 0);
  }

  SECTION("an account counts by itself only where that explains more") {
    for (int i = 0; i < 200; ++i) {
      model.Learn(now, FactsOf("chat", "long"), 200);
      model.Learn(now, FactsOf("chat", "short"), 5);
    }
    const auto output = [&](std::string_view account) {
      return model.Estimate(now, FactsOf("chat", account)).output_.expected_;
    };
    CHECK(output("long") == Approx(200).epsilon(0.1));
    CHECK(output("short") == Approx(5).epsilon(0.1));
    CHECK(output("unknown") > 5);
    CHECK(output("unknown") < 200);
  }

  SECTION("estimates off by ten, right at the median, are weighed by that") {
    std::mt19937 random(3);
    std::normal_distribution<double> error(0, std::log(10));
    for (int i = 0; i < 400; ++i) {
      facts.expected_output_tokens_ =
          static_cast<uint32_t>(std::lround(60 * std::exp(error(random)))) + 1;
      model.Learn(now, facts, 10);
    }
    // The output itself is steady, so that the estimate adds nothing.
    facts.expected_output_tokens_ = 6000;
    const RequestCost cost = model.Estimate(now, facts);
    CHECK(cost.output_.expected_ == Approx(10).epsilon(0.05));
  }

  SECTION("estimates that are good are followed, in units of output") {
    for (uint32_t i = 0; i < 400; ++i) {
      facts.expected_output_tokens_ = 60 + 600 * (i % 2);
      model.Learn(now, facts, facts.expected_output_tokens_ / 6.0);
    }
    facts.expected_output_tokens_ = 600;
    const RequestCost cost = model.Estimate(now, facts);
    CHECK(cost.output_.expected_ == Approx(100).epsilon(0.05));
    CHECK(cost.memory_.expected_ == Approx(3600).epsilon(0.05));
  }

  SECTION("the declared limit bounds estimate and upper quantile") {
    for (int i = 0; i < 100; ++i) {
      model.Learn(now, facts, 5000);
    }
    const RequestCost cost = model.Estimate(now, facts);
    CHECK(cost.output_.upper_ <= 1000);
    CHECK(cost.memory_.upper_ <= 4000);
  }

  SECTION("what is old is not used") {
    for (int i = 0; i < 100; ++i) {
      model.Learn(now, facts, 40);
    }
    now += minutes(11);
    CHECK(model.Estimate(now, facts).output_.expected_ == 0);
    for (int i = 0; i < 100; ++i) {
      model.Learn(now, facts, 8);
    }
    CHECK(model.Estimate(now, facts).output_.expected_ ==
          Approx(8).epsilon(0.05));
  }

  SECTION("a change is followed") {
    for (int i = 0; i < 1000; ++i) {
      model.Learn(now, facts, 40);
    }
    for (int i = 0; i < 100; ++i) {
      model.Learn(now, facts, 8);
    }
    CHECK(model.Estimate(now, facts).output_.expected_ ==
          Approx(8).epsilon(0.2));
  }

  SECTION("memory is bounded, and what is in use stays") {
    RequestCostModel small(16);
    for (int i = 0; i < 1000; ++i) {
      small.Learn(now, FactsOf("chat", "often"), 40);
      small.Learn(now, FactsOf("route" + std::to_string(i), "account"), 7);
      REQUIRE(small.keys() <= 16);
    }
    CHECK(small.Estimate(now, FactsOf("chat", "often")).output_.expected_ ==
          Approx(40).epsilon(0.05));
  }

  SECTION("figures that make no sense are ignored or bounded") {
    const double infinite = std::numeric_limits<double>::infinity();
    for (const double bad : {0.0, -1.0, infinite, -infinite, std::nan("")}) {
      model.Learn(now, facts, bad);
    }
    CHECK(model.keys() == 0);
    for (int i = 0; i < 20; ++i) {
      model.Learn(now, facts, 1e300);
    }
    now -= seconds(100);
    facts.prompt_tokens_ = UINT32_MAX;
    facts.max_output_tokens_ = UINT32_MAX;
    facts.expected_output_tokens_ = UINT32_MAX;
    for (const double tokens : {0.0, -5.0, infinite, std::nan("")}) {
      facts.segment_tokens_ = tokens;
      facts.held_tokens_ = tokens;
      const RequestCost cost = model.Estimate(now, facts);
      for (const auto& amount : {cost.prefill_, cost.output_, cost.memory_}) {
        CHECK(std::isfinite(amount.expected_));
        CHECK(amount.expected_ >= 0);
        CHECK(std::isfinite(amount.upper_));
        CHECK(amount.upper_ >= amount.expected_);
      }
    }
  }
}

}  // namespace citronlane
