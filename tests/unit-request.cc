#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "citronlane/request/request.h"

namespace citronlane {
namespace {

constexpr uint64_t kTokens = 6;

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

std::string TokenText(uint64_t offset) {
  return "t" + std::to_string(offset) + " ";
}

std::string FullText() {
  std::string text;
  for (uint64_t i = 0; i < kTokens; ++i) {
    text += TokenText(i);
  }
  return text;
}

StagePlan Plain(const std::string& name) {
  return StagePlan{name, false, false, false};
}

/// A request and the commands it has returned.
struct RequestTest {
  explicit RequestTest(std::vector<StagePlan> stages,
                       int hedges = 8,
                       int retries = 8)
      : hedges_(hedges),
        retries_(retries),
        request_(RequestPlan{"r", std::move(stages), At(1000)},
                 RequestHooks{[this](uint32_t) { return hedges_-- > 0; },
                              [this](uint32_t, RetryReason) {
                                return retries_-- > 0;
                              }}) {
    request_.Start(At(0));
    Take();
  }

  void Take() {
    for (RequestCommand& command : request_.TakeCommands()) {
      if (const auto* call = std::get_if<StartCall>(&command)) {
        calls_.push_back(*call);
        request_.OnPlaced(call->attempt_,
                          call->server_.empty()
                              ? "s" + std::to_string(calls_.size())
                              : call->server_);
      } else if (const auto* cancel = std::get_if<CancelCall>(&command)) {
        cancelled_.push_back(cancel->attempt_);
      } else if (const auto* text = std::get_if<EmitText>(&command)) {
        emitted_.push_back(*text);
      } else if (const auto* finish = std::get_if<FinishRequest>(&command)) {
        finishes_.push_back(*finish);
      }
    }
  }

  AttemptId Send(size_t call) {
    REQUIRE(call < calls_.size());
    CHECK(request_.OnSending(calls_[call].attempt_));
    return calls_[call].attempt_;
  }
  void Result(const AttemptId& id, const std::string& echoed = "") {
    StageResult result{id, echoed.empty() ? id.ToHeader() : echoed, {}};
    request_.OnResult(std::move(result), At(10));
    Take();
  }
  void Tokens(const AttemptId& id, uint64_t from, uint64_t to) {
    for (uint64_t i = from; i < to; ++i) {
      request_.OnToken(
          id, Token{i, TokenText(i), i + 1 == kTokens ? "stop" : ""}, At(10));
    }
    Take();
  }
  void Fail(const AttemptId& id, CallOutcome outcome) {
    request_.OnFailure(id, outcome, At(10));
    Take();
  }

  int hedges_;
  int retries_;
  Request request_;
  std::vector<StartCall> calls_;
  std::vector<AttemptId> cancelled_;
  std::vector<EmitText> emitted_;
  std::vector<FinishRequest> finishes_;
};

}  // namespace

TEST_CASE("request") {
  SECTION("runs its stages in order and is complete after the last") {
    RequestTest test({Plain("encode"), Plain("retrieve")});
    test.Result(test.Send(0));
    REQUIRE(test.calls_.size() == 2);
    CHECK(test.calls_[1].attempt_.ToHeader() == "r/1/0");
    test.Result(test.Send(1));
    REQUIRE(test.finishes_.size() == 1);
    CHECK(test.finishes_[0].complete_);
    CHECK(test.finishes_[0].verdict_ == Verdict::kRan);
  }

  SECTION("accepts a result once and ignores late ones") {
    RequestTest test({Plain("encode"), Plain("retrieve")});
    const AttemptId first = test.Send(0);
    test.Result(first);
    test.Result(first);
    test.Fail(first, CallOutcome::kTimeout);
    CHECK(test.calls_.size() == 2);
    CHECK(test.request_.counters().late_results_ == 2);
  }

  SECTION("does not accept a result with the id of another attempt") {
    RequestTest test({Plain("encode")});
    test.Result(test.Send(0), "other/0/0");
    CHECK(test.finishes_.empty());
    CHECK(test.request_.counters().wrong_ids_ == 1);
    REQUIRE(test.calls_.size() == 2);
    CHECK(test.calls_[1].excluded_ == std::vector<std::string>{"s1"});
  }

  SECTION("raises the verdict before a byte is sent") {
    RequestTest test({Plain("encode")});
    CHECK(test.request_.verdict() == Verdict::kNotRun);
    test.Send(0);
    CHECK(test.request_.verdict() == Verdict::kMayHaveRun);
    test.request_.OnDeadline();
    test.Take();
    REQUIRE(test.finishes_.size() == 1);
    CHECK(test.finishes_[0].verdict_ == Verdict::kMayHaveRun);
    CHECK(test.finishes_[0].reason_ == RefusalReason::kDeadlineExceeded);
    CHECK(test.cancelled_.size() == 1);
  }

  SECTION("sends nothing for a closed attempt") {
    RequestTest test({Plain("encode")});
    test.request_.OnCallerGone();
    CHECK_FALSE(test.request_.OnSending(test.calls_[0].attempt_));
    CHECK(test.request_.verdict() == Verdict::kNotRun);
  }

  SECTION("uses the first result of a hedged call and cancels the other") {
    RequestTest test({Plain("encode")});
    const AttemptId slow = test.Send(0);
    test.request_.OnHedgeTime(slow, At(50));
    test.Take();
    REQUIRE(test.calls_.size() == 2);
    CHECK(test.calls_[1].excluded_ == std::vector<std::string>{"s1"});
    const AttemptId hedge = test.Send(1);
    SECTION("when the hedge is faster") {
      test.Result(hedge);
      CHECK(test.cancelled_ == std::vector<AttemptId>{slow});
      CHECK(test.request_.counters().hedge_wins_ == 1);
    }
    SECTION("when one fails, the other continues without a retry") {
      test.Fail(slow, CallOutcome::kServerError);
      CHECK(test.calls_.size() == 2);
      test.Result(hedge);
      CHECK(test.finishes_.size() == 1);
    }
    SECTION("and no third call starts") {
      test.request_.OnHedgeTime(slow, At(60));
      test.request_.OnHedgeTime(hedge, At(60));
      test.Take();
      CHECK(test.calls_.size() == 2);
    }
  }

  SECTION("stays within its budgets") {
    RequestTest test({Plain("encode")}, 0, 0);
    const AttemptId call = test.Send(0);
    test.request_.OnHedgeTime(call, At(50));
    test.Take();
    CHECK(test.calls_.size() == 1);
    test.Fail(call, CallOutcome::kServerError);
    REQUIRE(test.finishes_.size() == 1);
    CHECK(test.finishes_[0].reason_ == RefusalReason::kRetryBudgetExhausted);
  }

  SECTION("a non-idempotent stage") {
    StagePlan order{"order", false, true, true};
    SECTION("is never hedged") {
      RequestTest test({order});
      test.request_.OnHedgeTime(test.Send(0), At(50));
      test.Take();
      CHECK(test.calls_.size() == 1);
    }
    SECTION("is not called again once a byte was sent") {
      for (const CallOutcome outcome :
           {CallOutcome::kServerError, CallOutcome::kClosedAfterSend,
            CallOutcome::kTimeout, CallOutcome::kWrongId}) {
        RequestTest test({order});
        test.Fail(test.Send(0), outcome);
        CHECK(test.calls_.size() == 1);
        REQUIRE(test.finishes_.size() == 1);
        CHECK(test.finishes_[0].verdict_ == Verdict::kMayHaveRun);
      }
    }
    SECTION("is called again when no connection was made") {
      RequestTest test({order});
      test.Fail(test.calls_[0].attempt_, CallOutcome::kConnectFailed);
      CHECK(test.calls_.size() == 2);
    }
    SECTION("is called again after a rejection only if that proves no run") {
      RequestTest declared({order});
      declared.Fail(declared.Send(0), CallOutcome::kRejected);
      CHECK(declared.calls_.size() == 2);
      CHECK(declared.request_.verdict() == Verdict::kNotRun);
      order.rejection_means_not_run_ = false;
      RequestTest plain({order});
      plain.Fail(plain.Send(0), CallOutcome::kRejected);
      CHECK(plain.calls_.size() == 1);
      CHECK(plain.finishes_.at(0).verdict_ == Verdict::kMayHaveRun);
    }
  }

  SECTION("a stream") {
    const StagePlan engine{"generate", true, false, false};
    RequestTest test({engine});
    const AttemptId first = test.Send(0);
    SECTION("is emitted by offset, without duplicates") {
      test.Tokens(first, 0, 3);
      test.Tokens(first, 1, kTokens);
      CHECK(test.emitted_.size() == kTokens);
      CHECK(test.request_.counters().duplicate_tokens_ == 2);
      CHECK(test.finishes_.at(0).complete_);
      CHECK(test.request_.output().text_ == FullText());
    }
    SECTION("starts again on another server when no token arrived") {
      test.Fail(first, CallOutcome::kClosedAfterSend);
      REQUIRE(test.calls_.size() == 2);
      CHECK(test.calls_[1].mode_ == CallMode::kFresh);
    }
    SECTION("resumes at the offset on the same server, then elsewhere") {
      test.Tokens(first, 0, 3);
      test.Fail(first, CallOutcome::kClosedAfterSend);
      REQUIRE(test.calls_.size() == 2);
      CHECK(test.calls_[1].mode_ == CallMode::kResume);
      CHECK(test.calls_[1].server_ == "s1");
      CHECK(test.calls_[1].resumed_ == first);
      CHECK(test.calls_[1].offset_ == 3);
      test.Fail(test.Send(1), CallOutcome::kServerError);
      REQUIRE(test.calls_.size() == 3);
      CHECK(test.calls_[2].mode_ == CallMode::kContinue);
      CHECK(test.calls_[2].excluded_.front() == "s1");
      test.Tokens(test.Send(2), 3, kTokens);
      CHECK(test.finishes_.at(0).complete_);
      CHECK(test.request_.output().text_ == FullText());
    }
    SECTION("continues on another server after a timeout") {
      test.Tokens(first, 0, 3);
      test.Fail(first, CallOutcome::kTimeout);
      CHECK(test.calls_.at(1).mode_ == CallMode::kContinue);
    }
    SECTION("with a gap is cancelled before the gap is emitted") {
      test.Tokens(first, 0, 2);
      test.Tokens(first, 4, 5);
      CHECK(test.emitted_.size() == 2);
      CHECK(test.cancelled_ == std::vector<AttemptId>{first});
      CHECK(test.calls_.at(1).offset_ == 2);
    }
    SECTION("that can not be completed ends with an error") {
      test.retries_ = 0;
      test.Tokens(first, 0, 3);
      test.Fail(first, CallOutcome::kClosedAfterSend);
      REQUIRE(test.finishes_.size() == 1);
      CHECK_FALSE(test.finishes_[0].complete_);
      CHECK(test.finishes_[0].reason_ == RefusalReason::kStreamBroken);
    }
    SECTION("is read from the hedged call whose token arrives first") {
      test.request_.OnHedgeTime(first, At(50));
      test.Take();
      const AttemptId hedge = test.Send(1);
      test.Tokens(hedge, 0, 1);
      CHECK(test.cancelled_ == std::vector<AttemptId>{first});
      test.Tokens(first, 0, 2);
      CHECK(test.emitted_.size() == 1);
    }
  }
}

namespace {

/// Simulates the backend servers of a request with a seeded random order of
/// events: late, duplicate and reordered results and every kind of failure.
/// Checks the invariants of a request.
class SimulatedServers {
 public:
  SimulatedServers(uint64_t seed, std::vector<StagePlan> stages)
      : random_(seed),
        stages_(std::move(stages)),
        request_(
            RequestPlan{"r", stages_, At(1000)},
            RequestHooks{[this](uint32_t) { return Chance(2); },
                         [this](uint32_t, RetryReason) { return !Chance(8); }}),
        runs_(stages_.size()) {}

  void Play() {
    request_.Start(At(0));
    Take();
    for (int step = 0; step < kSteps && !events_.empty(); ++step) {
      const size_t pick = Draw(events_.size());
      const Event event = events_[pick];
      if (!Chance(6)) {  // else it is delivered again later
        events_.erase(events_.begin() + static_cast<std::ptrdiff_t>(pick));
      }
      Deliver(event);
      Take();
    }
    request_.OnDeadline();
    Take();
    RC_ASSERT(finishes_ == 1);
    CheckEnd();
  }

 private:
  enum class Kind { kSend, kResult, kWrongId, kFailure, kToken, kHedge };
  struct Event {
    Kind kind_;
    AttemptId id_;
    uint64_t offset_ = 0;
    CallOutcome outcome_ = CallOutcome::kSuccess;
  };
  static constexpr int kSteps = 400;

  uint64_t Draw(uint64_t bound) { return random_() % bound; }
  bool Chance(uint64_t one_in) { return Draw(one_in) == 0; }
  const StagePlan& PlanOf(const AttemptId& id) { return stages_[id.stage_]; }

  void Take() {
    for (RequestCommand& command : request_.TakeCommands()) {
      RC_ASSERT(finishes_ == 0);
      if (const auto* call = std::get_if<StartCall>(&command)) {
        OnCall(*call);
      } else if (const auto* hedge = std::get_if<ArmHedge>(&command)) {
        RC_ASSERT(!PlanOf(hedge->attempt_).non_idempotent_);
        events_.push_back({Kind::kHedge, hedge->attempt_});
      } else if (const auto* text = std::get_if<EmitText>(&command)) {
        RC_ASSERT(text->offset_ == emitted_++);
        RC_ASSERT(text->text_ == TokenText(text->offset_));
      } else if (const auto* cancel = std::get_if<CancelCall>(&command)) {
        open_.erase(cancel->attempt_.ToHeader());
      } else if (const auto* end = std::get_if<FinishRequest>(&command)) {
        ++finishes_;
        finish_ = *end;
      }
    }
  }

  void OnCall(const StartCall& call) {
    RC_ASSERT(call.attempt_.stage_ == request_.stage());
    RC_ASSERT(call.attempt_.attempt_ < request_.plan().max_attempts_);
    RC_ASSERT(call.offset_ == 0 || call.mode_ != CallMode::kFresh);
    if (Chance(12)) {
      request_.OnNoServer(call.attempt_, At(1));
      return;
    }
    request_.OnPlaced(call.attempt_, "s" + std::to_string(Draw(5)));
    open_[call.attempt_.ToHeader()] = true;
    events_.push_back({Kind::kSend, call.attempt_, call.offset_});
  }

  void Deliver(const Event& event) {
    switch (event.kind_) {
      case Kind::kSend:
        Send(event);
        break;
      case Kind::kResult:
      case Kind::kWrongId: {
        const std::string echo =
            event.kind_ == Kind::kResult ? event.id_.ToHeader() : "x/0/0";
        StageOutput output;
        output.embedding_ = std::to_string(event.id_.stage_);
        request_.OnResult({event.id_, echo, output}, At(2));
        break;
      }
      case Kind::kFailure:
        request_.OnFailure(event.id_, event.outcome_, At(2));
        break;
      case Kind::kToken:
        SendToken(event);
        break;
      case Kind::kHedge:
        request_.OnHedgeTime(event.id_, At(2));
        break;
    }
  }

  void Send(const Event& event) {
    if (!sent_.emplace(event.id_.ToHeader(), true).second) {
      return;
    }
    if (Chance(8)) {
      events_.push_back(
          {Kind::kFailure, event.id_, 0, CallOutcome::kConnectFailed});
      return;
    }
    if (!request_.OnSending(event.id_)) {
      return;
    }
    RC_ASSERT(open_.count(event.id_.ToHeader()) == 1);
    RC_ASSERT(request_.verdict() != Verdict::kNotRun);
    if (Chance(8)) {
      ambiguous_rejection_ =
          ambiguous_rejection_ || !PlanOf(event.id_).rejection_means_not_run_;
      events_.push_back({Kind::kFailure, event.id_, 0, CallOutcome::kRejected});
      return;
    }
    ++runs_[event.id_.stage_];
    Reply(event);
  }

  void Reply(const Event& event) {
    if (PlanOf(event.id_).streams_) {
      events_.push_back({Kind::kToken, event.id_, event.offset_});
    } else if (!Chance(3)) {
      events_.push_back({Kind::kResult, event.id_});
    } else if (Chance(3)) {
      events_.push_back({Kind::kWrongId, event.id_});
    } else {
      PushFailure(event.id_);
    }
  }

  void PushFailure(const AttemptId& id) {
    constexpr CallOutcome kEnds[] = {CallOutcome::kServerError,
                                     CallOutcome::kClosedAfterSend,
                                     CallOutcome::kTimeout};
    events_.push_back({Kind::kFailure, id, 0, kEnds[Draw(3)]});
  }

  void SendToken(const Event& event) {
    if (Chance(8)) {
      PushFailure(event.id_);
      return;
    }
    const uint64_t offset = event.offset_ + (Chance(20) ? 1 : 0);
    const bool last = offset + 1 >= kTokens;
    request_.OnToken(event.id_, {offset, TokenText(offset), last ? "stop" : ""},
                     At(3));
    if (!last) {
      events_.push_back({Kind::kToken, event.id_, offset + 1});
    }
  }

  void CheckEnd() {
    for (size_t stage = 0; stage < stages_.size(); ++stage) {
      RC_ASSERT(!stages_[stage].non_idempotent_ || runs_[stage] <= 1);
    }
    if (finish_.verdict_ == Verdict::kNotRun) {
      for (const int runs : runs_) {
        RC_ASSERT(runs == 0);
      }
      RC_ASSERT(!ambiguous_rejection_);
    }
    if (finish_.complete_) {
      RC_ASSERT(request_.stage() + 1 == stages_.size());
      RC_ASSERT(!stages_.back().streams_ ||
                request_.output().text_ == FullText());
    }
    // Events after the end of the request change nothing.
    const std::vector<Event> late = events_;
    for (const Event& event : late) {
      Deliver(event);
    }
    RC_ASSERT(request_.TakeCommands().empty());
  }

  std::mt19937_64 random_;
  const std::vector<StagePlan> stages_;
  Request request_;
  std::vector<Event> events_;
  std::map<std::string, bool> open_;
  std::map<std::string, bool> sent_;
  std::vector<int> runs_;
  uint64_t emitted_ = 0;
  int finishes_ = 0;
  FinishRequest finish_;
  bool ambiguous_rejection_ = false;
};

}  // namespace

TEST_CASE("request under any order of events") {
  CHECK(rc::check(
      "keeps its invariants", [](uint64_t seed, bool non_idempotent,
                                 bool rejection_means_not_run, bool streams) {
        std::vector<StagePlan> stages = {Plain("encode"), Plain("retrieve")};
        stages.push_back(StagePlan{"last", streams, non_idempotent,
                                   rejection_means_not_run});
        for (uint64_t i = 0; i < 20; ++i) {
          SimulatedServers(seed + i, stages).Play();
        }
      }));
}

}  // namespace citronlane
