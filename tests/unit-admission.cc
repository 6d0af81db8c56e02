#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>

#include "citronlane/admission/admission_controller.h"
#include "citronlane/config/cluster_config.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCost = 10;

ClusterConfig MakeConfig() {
  ClusterConfig config;
  config.classes_["chat"] = {"chat", seconds(1), seconds(4), 0.95, {}, {}};
  config.classes_["report"] = {"report", {}, seconds(30), 0.9, 50.0, 1000.0};
  config.classes_["nightly"] = {"nightly", {}, seconds(60), 0.9, {}, {}, true};
  return config;
}

AdmissionQuery MakeQuery(const std::string& class_name,
                         Duration expected,
                         const std::string& account = "small") {
  const ClassConfig class_config = MakeConfig().classes_.at(class_name);
  AdmissionQuery query;
  query.account_ = account;
  query.class_name_ = class_name;
  query.batch_ = class_config.batch_;
  query.target_ = class_config.answer_target_;
  query.deadline_ = seconds(60);
  query.expected_finish_ = expected;
  query.expected_cost_ = kCost;
  query.bottleneck_pool_ = "engines";
  query.pool_servers_ = 4;
  return query;
}

class AdmissionTest {
 public:
  explicit AdmissionTest(AdmissionOptions options = {})
      : controller_(MakeConfig(), options, [this](uint64_t bound) {
          return random_() % bound;
        }) {}

  std::optional<RefusalReason> Admit(const AdmissionQuery& query) {
    last_ = controller_.Admit(now_, query);
    return last_ ? std::optional(last_->reason_) : std::nullopt;
  }
  /// Admits `count` requests of an account while the pool is idle.
  void Use(const std::string& account, int count) {
    for (int i = 0; i < count; ++i) {
      CHECK_FALSE(Admit(MakeQuery("chat", seconds(1), account)));
    }
  }

  std::mt19937_64 random_{11};
  TimePoint now_{seconds(1000)};
  AdmissionController controller_;
  std::optional<Refusal> last_;
};

}  // namespace

TEST_CASE("early refusal") {
  AdmissionTest test;
  SECTION("admits a request that is expected to meet its target") {
    CHECK_FALSE(test.Admit(MakeQuery("chat", seconds(2))));
  }
  SECTION("refuses one that is expected to miss it, with the figures") {
    CHECK(test.Admit(MakeQuery("chat", seconds(5))) ==
          RefusalReason::kDeadlineUnreachable);
    CHECK(test.last_->figures_.at("expected_ms") == 5000);
    CHECK(test.last_->figures_.at("target_ms") == 4000);
  }
  SECTION("refuses by the first token as well") {
    AdmissionQuery query = MakeQuery("chat", seconds(2));
    query.first_token_target_ = seconds(1);
    query.expected_first_token_ = milliseconds(1500);
    CHECK(test.Admit(query) == RefusalReason::kDeadlineUnreachable);
  }
  SECTION("refuses one that is expected to miss its deadline") {
    AdmissionQuery query = MakeQuery("report", seconds(9));
    query.deadline_ = seconds(8);
    CHECK(test.Admit(query) == RefusalReason::kDeadlineUnreachable);
  }
  SECTION("refuses most requests that need a pool that is down") {
    AdmissionQuery query = MakeQuery("chat", seconds(2));
    query.pool_down_ = true;
    int refused = 0;
    for (int i = 0; i < 300; ++i) {
      refused += test.Admit(query) == RefusalReason::kNoBackendServer ? 1 : 0;
    }
    CHECK(refused > 150);
    CHECK(refused < 250);
  }
  SECTION("refuses all requests that need a pool without a usable server") {
    AdmissionQuery query = MakeQuery("chat", seconds(2));
    query.pool_empty_ = true;
    for (int i = 0; i < 20; ++i) {
      CHECK(test.Admit(query) == RefusalReason::kNoBackendServer);
    }
  }
  SECTION("admits a request without an estimate") {
    AdmissionQuery query = MakeQuery("chat", seconds(5));
    query.expected_finish_.reset();
    CHECK_FALSE(test.Admit(query));
  }
  SECTION("lowers the margin after misses and raises it again") {
    const AdmissionQuery query = MakeQuery("chat", milliseconds(3400));
    CHECK_FALSE(test.Admit(query));
    for (int i = 0; i < 5; ++i) {
      test.controller_.OnFinish(test.now_, query, kCost, false);
    }
    CHECK(test.Admit(query) == RefusalReason::kDeadlineUnreachable);
    for (int i = 0; i < 200; ++i) {
      test.controller_.OnFinish(test.now_, query, kCost, true);
    }
    CHECK_FALSE(test.Admit(query));
  }
}

TEST_CASE("large account") {
  AdmissionTest test;
  test.Use("large", 90);
  test.Use("small", 10);
  const Duration contended = milliseconds(3000);
  const auto contend = [&] {
    for (int i = 0; i < 10; ++i) {
      CHECK_FALSE(test.Admit(MakeQuery("chat", contended, "other")));
    }
  };
  contend();
  SECTION("is refused over its fair share while the pool is contended") {
    CHECK(test.Admit(MakeQuery("chat", contended, "large")) ==
          RefusalReason::kFairShare);
    CHECK(test.last_->figures_.at("use_over_share") ==
          Approx(1.384).epsilon(0.01));
  }
  SECTION("is distinguished from medium ones among many small ones") {
    for (int i = 0; i < 90; ++i) {
      test.Use("tiny-" + std::to_string(i), 1);
    }
    test.Use("middling", 8);
    test.now_ += seconds(3);
    contend();
    CHECK_FALSE(test.Admit(MakeQuery("chat", contended, "middling")));
    CHECK(test.Admit(MakeQuery("chat", contended, "large")) ==
          RefusalReason::kFairShare);
  }
  SECTION("does not cause refusals of small accounts") {
    CHECK_FALSE(test.Admit(MakeQuery("chat", contended, "small")));
    CHECK_FALSE(test.Admit(MakeQuery("chat", contended, "new")));
  }
  SECTION("is not refused because of one high estimate") {
    test.now_ += seconds(5);
    test.Use("small", 1);
    CHECK_FALSE(test.Admit(MakeQuery("chat", milliseconds(1800), "large")));
  }
  SECTION("may use capacity that no other account needs") {
    test.now_ += seconds(5);
    CHECK_FALSE(test.Admit(MakeQuery("chat", milliseconds(1200), "large")));
  }
  SECTION("is admitted again when its use has decayed") {
    test.now_ += seconds(120);
    test.Use("small", 30);
    test.Use("large", 10);
    contend();
    CHECK_FALSE(test.Admit(MakeQuery("chat", contended, "large")));
  }
}

TEST_CASE("batch") {
  AdmissionTest test;
  test.Use("small", 1);
  SECTION("uses idle capacity") {
    CHECK_FALSE(test.Admit(MakeQuery("nightly", seconds(2))));
  }
  SECTION("yields while interactive work is refused for lack of capacity") {
    CHECK(test.Admit(MakeQuery("chat", seconds(5))).has_value());
    test.Use("small", 20);
    CHECK(test.Admit(MakeQuery("nightly", seconds(2))) ==
          RefusalReason::kBatchYields);
  }
  SECTION("does not yield for a pool that is down elsewhere") {
    AdmissionQuery query = MakeQuery("chat", seconds(1));
    query.pool_down_ = true;
    for (int i = 0; i < 20; ++i) {
      test.Admit(query);
    }
    CHECK_FALSE(test.Admit(MakeQuery("nightly", seconds(2))));
  }
  SECTION("yields at once to interactive work") {
    CHECK_FALSE(test.Admit(MakeQuery("chat", milliseconds(2500))));
    CHECK(test.Admit(MakeQuery("nightly", seconds(2))) ==
          RefusalReason::kBatchYields);
    test.now_ += seconds(3);
    CHECK_FALSE(test.Admit(MakeQuery("nightly", seconds(2))));
  }
}

TEST_CASE("spend") {
  AdmissionTest test;
  const AdmissionQuery query = MakeQuery("report", seconds(1));
  const auto count_admitted = [&](int tries) {
    int admitted = 0;
    for (int i = 0; i < tries; ++i) {
      admitted += test.Admit(query) ? 0 : 1;
    }
    return admitted;
  };
  SECTION("over the limit of one request is refused without Retry-After") {
    AdmissionQuery expensive = query;
    expensive.expected_cost_ = 51;
    CHECK(test.Admit(expensive) == RefusalReason::kSpendLimit);
    CHECK(test.last_->retry_after_ == Duration::zero());
  }
  SECTION("stays within the leased share") {
    CHECK_FALSE(test.Admit(MakeQuery("chat", seconds(1))));
    test.controller_.OnSpendShare("report", 50, test.now_ + seconds(10));
    CHECK(count_admitted(20) == 5);
    CHECK(test.last_->reason_ == RefusalReason::kSpendLimit);
    CHECK(test.controller_.SpendIsTight(test.now_, "report"));
  }
  SECTION("counts the actual cost of requests") {
    CHECK_FALSE(test.Admit(MakeQuery("chat", seconds(1))));
    test.controller_.OnSpendShare("report", 50, test.now_ + seconds(10));
    CHECK_FALSE(test.Admit(query));
    test.controller_.OnFinish(test.now_, query, 40, true);
    CHECK(count_admitted(20) == 1);
  }
  SECTION("falls to a floor of a tenth of the lease's rate after its end") {
    CHECK_FALSE(test.Admit(MakeQuery("chat", seconds(1))));
    test.controller_.OnSpendShare("report", 1000, test.now_ + seconds(10));
    test.now_ += seconds(11);
    CHECK(count_admitted(50) == 1);
    test.now_ += seconds(10);
    CHECK(count_admitted(50) == 10);
  }
}

TEST_CASE("Retry-After") {
  AdmissionTest test;
  std::set<Duration> times;
  Duration longest{};
  for (int i = 0; i < 100; ++i) {
    test.Admit(MakeQuery("chat", seconds(7)));
    times.insert(test.last_->retry_after_);
    longest = std::max(longest, test.last_->retry_after_);
    CHECK(test.last_->retry_after_ >= seconds(3));
  }
  SECTION("differs from caller to caller") {
    CHECK(times.size() > 90);
  }
  SECTION("spreads wider the more requests are refused") {
    CHECK(longest > seconds(20));
    CHECK(longest <= seconds(120));
  }
}

}  // namespace citronlane
