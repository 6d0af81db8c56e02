#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <vector>

#include "citronlane/routing/deadline_split.h"
#include "citronlane/routing/hedge_policy.h"
#include "citronlane/routing/retry_policy.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HedgeQuery SlowCall() {
  HedgeQuery query;
  query.elapsed_ = milliseconds(100);
  query.delay_ = milliseconds(100);
  query.expected_ = milliseconds(40);
  query.remaining_ = seconds(2);
  return query;
}

RetryQuery Failed(CallOutcome outcome, bool non_idempotent = false) {
  RetryQuery query;
  query.outcome_ = outcome;
  query.non_idempotent_ = non_idempotent;
  query.remaining_ = seconds(2);
  query.expected_ = milliseconds(40);
  return query;
}

RetryPolicy MakeRetryPolicy() {
  return RetryPolicy([random = std::mt19937_64(3)](uint64_t bound) mutable {
    return random() % bound;
  });
}

}  // namespace

TEST_CASE("hedge") {
  HedgePolicy policy;
  HedgeQuery query = SlowCall();
  SECTION("is sent for a call past its delay") {
    CHECK(policy.Decide(query) == HedgeOutcome::kHedged);
    CHECK(policy.count(HedgeOutcome::kHedged) == 1);
  }
  SECTION("is not sent") {
    SECTION("for a call that may not be repeated") {
      query.non_idempotent_ = true;
      CHECK(policy.Decide(query) == HedgeOutcome::kNonIdempotent);
    }
    SECTION("for batch work") {
      query.batch_ = true;
      CHECK(policy.Decide(query) == HedgeOutcome::kBatch);
    }
    SECTION("before the delay, or with none learned") {
      query.elapsed_ = milliseconds(99);
      CHECK(policy.Decide(query) == HedgeOutcome::kNotSlow);
      query.delay_.reset();
      CHECK(policy.Decide(query) == HedgeOutcome::kNotSlow);
    }
    SECTION("when it would come too late") {
      query.remaining_ = milliseconds(30);
      CHECK(policy.Decide(query) == HedgeOutcome::kNoTime);
    }
    SECTION("into a pool that is overloaded") {
      query.pressure_ = 0.8;
      CHECK(policy.Decide(query) == HedgeOutcome::kOverloaded);
      query.pressure_ = 0;
      query.expected_ = milliseconds(150);
      CHECK(policy.Decide(query) == HedgeOutcome::kOverloaded);
    }
    SECTION("when the class is close to its spend limit") {
      query.spend_tight_ = true;
      CHECK(policy.Decide(query) == HedgeOutcome::kSpendTight);
    }
  }
  SECTION("stays within 5% of the calls") {
    for (int i = 0; i < 10000; ++i) {
      policy.OnFirstCall();
      policy.Decide(query);
    }
    CHECK(policy.count(HedgeOutcome::kHedged) >= 500);
    CHECK(policy.count(HedgeOutcome::kHedged) <= 505);
  }
}

TEST_CASE("retry") {
  RetryPolicy policy = MakeRetryPolicy();
  SECTION("depends on how the call ended") {
    const struct {
      CallOutcome outcome_;
      RetryOutcome idempotent_;
      RetryOutcome non_idempotent_;
    } rows[] = {
        {CallOutcome::kConnectFailed, RetryOutcome::kAfterConnectFailed,
         RetryOutcome::kAfterConnectFailed},
        {CallOutcome::kRejected, RetryOutcome::kAfterRejected,
         RetryOutcome::kMayHaveRun},
        {CallOutcome::kServerError, RetryOutcome::kAfterServerError,
         RetryOutcome::kMayHaveRun},
        {CallOutcome::kClosedAfterSend, RetryOutcome::kAfterClosed,
         RetryOutcome::kMayHaveRun},
        {CallOutcome::kTimeout, RetryOutcome::kAfterTimeout,
         RetryOutcome::kMayHaveRun},
        {CallOutcome::kWrongId, RetryOutcome::kAfterWrongId,
         RetryOutcome::kMayHaveRun},
        {CallOutcome::kSuccess, RetryOutcome::kNotFailed,
         RetryOutcome::kNotFailed},
        {CallOutcome::kCancelled, RetryOutcome::kNotFailed,
         RetryOutcome::kNotFailed},
    };
    for (const auto& row : rows) {
      CHECK(policy.Decide(Failed(row.outcome_)).outcome_ == row.idempotent_);
      CHECK(policy.Decide(Failed(row.outcome_, true)).outcome_ ==
            row.non_idempotent_);
    }
  }
  SECTION("trusts a rejection only where it proves that nothing ran") {
    RetryQuery query = Failed(CallOutcome::kRejected, true);
    query.rejection_means_not_run_ = true;
    CHECK(policy.Decide(query).outcome_ == RetryOutcome::kAfterRejected);
  }
  SECTION("ends after three attempts") {
    RetryQuery query = Failed(CallOutcome::kConnectFailed);
    query.attempts_ = 3;
    CHECK(policy.Decide(query).outcome_ == RetryOutcome::kTooManyAttempts);
  }
  SECTION("never goes past the deadline") {
    RetryQuery query = Failed(CallOutcome::kConnectFailed);
    query.remaining_ = milliseconds(40);
    CHECK(policy.Decide(query).outcome_ == RetryOutcome::kNoTime);
  }
  SECTION("waits a random time that grows with the attempts") {
    Duration longest_first{};
    Duration longest_second{};
    std::set<Duration> waits;
    for (int i = 0; i < 200; ++i) {
      for (int j = 0; j < 10; ++j) {
        policy.OnFirstCall();
      }
      RetryQuery query = Failed(CallOutcome::kTimeout);
      const Duration first = policy.Decide(query).backoff_;
      query.attempts_ = 2;
      longest_first = std::max(longest_first, first);
      longest_second = std::max(longest_second, policy.Decide(query).backoff_);
      waits.insert(first);
    }
    CHECK(waits.size() > 100);
    CHECK(longest_first < milliseconds(10));
    CHECK(longest_second > milliseconds(12));
    CHECK(longest_second < milliseconds(20));
  }
  SECTION("stays within its budget when a whole pool is down") {
    constexpr int kCalls = 10000;
    int calls = 0;
    for (int i = 0; i < kCalls; ++i) {
      policy.OnFirstCall();
      RetryQuery query = Failed(CallOutcome::kConnectFailed);
      ++calls;
      while (IsRetry(policy.Decide(query).outcome_)) {
        ++calls;
        ++query.attempts_;
      }
    }
    CHECK(calls <= kCalls * 1.1 + 10);
    CHECK(policy.count(RetryOutcome::kBudgetExhausted) > 8000);
  }
}

TEST_CASE("deadline split") {
  const std::vector<Duration> learned = {milliseconds(50), milliseconds(150),
                                         milliseconds(800)};
  SECTION("divides the time in proportion to learned times") {
    const StageTime time = SplitDeadline(seconds(4), learned);
    CHECK(time.share_ == milliseconds(200));
    CHECK(time.limit_ == milliseconds(3050));
  }
  SECTION("gives a stage at least a multiple of its learned time") {
    CHECK(SplitDeadline(milliseconds(1100), learned).share_ ==
          milliseconds(150));
  }
  SECTION("cuts all stages in proportion when time is short") {
    const StageTime time = SplitDeadline(milliseconds(500), learned);
    CHECK(time.share_ == milliseconds(25));
    CHECK(time.limit_ == milliseconds(25));
  }
  SECTION("gives the last stage all that is left") {
    const StageTime time = SplitDeadline(seconds(1), {&learned.back(), 1});
    CHECK(time.share_ == seconds(1));
  }
  SECTION("gives all while times are unknown, and nothing past the deadline") {
    CHECK(SplitDeadline(seconds(1), {}).share_ == seconds(1));
    CHECK(SplitDeadline(seconds(1), {Duration()}).limit_ == seconds(1));
    CHECK(SplitDeadline(seconds(-1), learned).limit_ == Duration());
  }
}

}  // namespace citronlane
