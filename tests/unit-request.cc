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

std::string WholeText() {
  std::string text;
  for (uint64_t i = 0; i < kTokens; ++i) {
    text += TokenText(i);
  }
  return text;
}

StagePlan Plain(const std::string& name) {
  return StagePlan{name, false, false, false};
}

/// A request on its own, with what it commanded so far.
struct Bench {
  explicit Bench(std::vector<StagePlan> stages, int hedges = 8, int retries = 8)
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
  SECTION("runs its stages in order and is whole after the last") {
    Bench bench({Plain("encode"), Plain("retrieve")});
    bench.Result(bench.Send(0));
    REQUIRE(bench.calls_.size() == 2);
    CHECK(bench.calls_[1].attempt_.ToHeader() == "r/1/0");
    bench.Result(bench.Send(1));
    REQUIRE(bench.finishes_.size() == 1);
    CHECK(bench.finishes_[0].whole_);
    CHECK(bench.finishes_[0].verdict_ == Verdict::kRan);
  }

  SECTION("takes a result once, and drops late ones") {
    Bench bench({Plain("encode"), Plain("retrieve")});
    const AttemptId first = bench.Send(0);
    bench.Result(first);
    bench.Result(first);
    bench.Fail(first, CallOutcome::kTimeout);
    CHECK(bench.calls_.size() == 2);
    CHECK(bench.request_.counters().late_results_ == 2);
  }

  SECTION("takes no result with another's id") {
    Bench bench({Plain("encode")});
    bench.Result(bench.Send(0), "other/0/0");
    CHECK(bench.finishes_.empty());
    CHECK(bench.request_.counters().wrong_ids_ == 1);
    REQUIRE(bench.calls_.size() == 2);
    CHECK(bench.calls_[1].excluded_ == std::vector<std::string>{"s1"});
  }

  SECTION("raises the verdict before a byte is sent") {
    Bench bench({Plain("encode")});
    CHECK(bench.request_.verdict() == Verdict::kNotRun);
    bench.Send(0);
    CHECK(bench.request_.verdict() == Verdict::kMayHaveRun);
    bench.request_.OnDeadline();
    bench.Take();
    REQUIRE(bench.finishes_.size() == 1);
    CHECK(bench.finishes_[0].verdict_ == Verdict::kMayHaveRun);
    CHECK(bench.finishes_[0].reason_ == RefusalReason::kDeadlineExceeded);
    CHECK(bench.cancelled_.size() == 1);
  }

  SECTION("sends nothing for a closed attempt") {
    Bench bench({Plain("encode")});
    bench.request_.OnCallerGone();
    CHECK_FALSE(bench.request_.OnSending(bench.calls_[0].attempt_));
    CHECK(bench.request_.verdict() == Verdict::kNotRun);
  }

  SECTION("hedges: the first result wins and the other is cancelled") {
    Bench bench({Plain("encode")});
    const AttemptId slow = bench.Send(0);
    bench.request_.OnHedgeTime(slow, At(50));
    bench.Take();
    REQUIRE(bench.calls_.size() == 2);
    CHECK(bench.calls_[1].excluded_ == std::vector<std::string>{"s1"});
    const AttemptId hedge = bench.Send(1);
    SECTION("when the hedge is faster") {
      bench.Result(hedge);
      CHECK(bench.cancelled_ == std::vector<AttemptId>{slow});
      CHECK(bench.request_.counters().hedge_wins_ == 1);
    }
    SECTION("when one fails, the other goes on without a retry") {
      bench.Fail(slow, CallOutcome::kServerError);
      CHECK(bench.calls_.size() == 2);
      bench.Result(hedge);
      CHECK(bench.finishes_.size() == 1);
    }
    SECTION("and no third call starts") {
      bench.request_.OnHedgeTime(slow, At(60));
      bench.request_.OnHedgeTime(hedge, At(60));
      bench.Take();
      CHECK(bench.calls_.size() == 2);
    }
  }

  SECTION("keeps to its budgets") {
    Bench bench({Plain("encode")}, 0, 0);
    const AttemptId call = bench.Send(0);
    bench.request_.OnHedgeTime(call, At(50));
    bench.Take();
    CHECK(bench.calls_.size() == 1);
    bench.Fail(call, CallOutcome::kServerError);
    REQUIRE(bench.finishes_.size() == 1);
    CHECK(bench.finishes_[0].reason_ == RefusalReason::kRetryBudgetExhausted);
  }

  SECTION("a non-idempotent stage") {
    StagePlan order{"order", false, true, true};
    SECTION("is never hedged") {
      Bench bench({order});
      bench.request_.OnHedgeTime(bench.Send(0), At(50));
      bench.Take();
      CHECK(bench.calls_.size() == 1);
    }
    SECTION("is not called again once a byte was sent") {
      for (const CallOutcome outcome :
           {CallOutcome::kServerError, CallOutcome::kClosedAfterSend,
            CallOutcome::kTimeout, CallOutcome::kWrongId}) {
        Bench bench({order});
        bench.Fail(bench.Send(0), outcome);
        CHECK(bench.calls_.size() == 1);
        REQUIRE(bench.finishes_.size() == 1);
        CHECK(bench.finishes_[0].verdict_ == Verdict::kMayHaveRun);
      }
    }
    SECTION("is called again when no connection was made") {
      Bench bench({order});
      bench.Fail(bench.calls_[0].attempt_, CallOutcome::kConnectFailed);
      CHECK(bench.calls_.size() == 2);
    }
    SECTION("is called again after a rejection only where that is declared") {
      Bench declared({order});
      declared.Fail(declared.Send(0), CallOutcome::kRejected);
      CHECK(declared.calls_.size() == 2);
      CHECK(declared.request_.verdict() == Verdict::kNotRun);
      order.rejection_means_not_run_ = false;
      Bench plain({order});
      plain.Fail(plain.Send(0), CallOutcome::kRejected);
      CHECK(plain.calls_.size() == 1);
      CHECK(plain.finishes_.at(0).verdict_ == Verdict::kMayHaveRun);
    }
  }

  SECTION("a stream") {
    const StagePlan engine{"generate", true, false, false};
    Bench bench({engine});
    const AttemptId first = bench.Send(0);
    SECTION("is emitted by offset, without repeat") {
      bench.Tokens(first, 0, 3);
      bench.Tokens(first, 1, kTokens);
      CHECK(bench.emitted_.size() == kTokens);
      CHECK(bench.request_.counters().duplicate_tokens_ == 2);
      CHECK(bench.finishes_.at(0).whole_);
      CHECK(bench.request_.output().text_ == WholeText());
    }
    SECTION("starts again elsewhere when nothing was sent") {
      bench.Fail(first, CallOutcome::kClosedAfterSend);
      REQUIRE(bench.calls_.size() == 2);
      CHECK(bench.calls_[1].mode_ == CallMode::kFresh);
    }
    SECTION("resumes at the offset on the same server, then elsewhere") {
      bench.Tokens(first, 0, 3);
      bench.Fail(first, CallOutcome::kClosedAfterSend);
      REQUIRE(bench.calls_.size() == 2);
      CHECK(bench.calls_[1].mode_ == CallMode::kResume);
      CHECK(bench.calls_[1].server_ == "s1");
      CHECK(bench.calls_[1].resumed_ == first);
      CHECK(bench.calls_[1].offset_ == 3);
      bench.Fail(bench.Send(1), CallOutcome::kServerError);
      REQUIRE(bench.calls_.size() == 3);
      CHECK(bench.calls_[2].mode_ == CallMode::kContinue);
      CHECK(bench.calls_[2].excluded_.front() == "s1");
      bench.Tokens(bench.Send(2), 3, kTokens);
      CHECK(bench.finishes_.at(0).whole_);
      CHECK(bench.request_.output().text_ == WholeText());
    }
    SECTION("leaves a server that went silent") {
      bench.Tokens(first, 0, 3);
      bench.Fail(first, CallOutcome::kTimeout);
      CHECK(bench.calls_.at(1).mode_ == CallMode::kContinue);
    }
    SECTION("with a gap is broken, not passed on") {
      bench.Tokens(first, 0, 2);
      bench.Tokens(first, 4, 5);
      CHECK(bench.emitted_.size() == 2);
      CHECK(bench.cancelled_ == std::vector<AttemptId>{first});
      CHECK(bench.calls_.at(1).offset_ == 2);
    }
    SECTION("that can't be completed ends with an error") {
      bench.retries_ = 0;
      bench.Tokens(first, 0, 3);
      bench.Fail(first, CallOutcome::kClosedAfterSend);
      REQUIRE(bench.finishes_.size() == 1);
      CHECK_FALSE(bench.finishes_[0].whole_);
      CHECK(bench.finishes_[0].reason_ == RefusalReason::kStreamBroken);
    }
    SECTION("hedged: the first token decides") {
      bench.request_.OnHedgeTime(first, At(50));
      bench.Take();
      const AttemptId hedge = bench.Send(1);
      bench.Tokens(hedge, 0, 1);
      CHECK(bench.cancelled_ == std::vector<AttemptId>{first});
      bench.Tokens(first, 0, 2);
      CHECK(bench.emitted_.size() == 1);
    }
  }
}

namespace {

/// Plays servers against a request in an order drawn from a seed: results
/// late, doubled and out of order, every kind of failure, and checks what must
/// always hold.
class World {
 public:
  World(uint64_t seed, std::vector<StagePlan> stages)
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
      if (!Chance(6)) {  // else it comes once more, later
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
      unproven_ = unproven_ || !PlanOf(event.id_).rejection_means_not_run_;
      events_.push_back({Kind::kFailure, event.id_, 0, CallOutcome::kRejected});
      return;
    }
    ++runs_[event.id_.stage_];
    Answer(event);
  }

  void Answer(const Event& event) {
    if (PlanOf(event.id_).streams_) {
      events_.push_back({Kind::kToken, event.id_, event.offset_});
    } else if (!Chance(3)) {
      events_.push_back({Kind::kResult, event.id_});
    } else if (Chance(3)) {
      events_.push_back({Kind::kWrongId, event.id_});
    } else {
      PushBreak(event.id_);
    }
  }

  void PushBreak(const AttemptId& id) {
    constexpr CallOutcome kEnds[] = {CallOutcome::kServerError,
                                     CallOutcome::kClosedAfterSend,
                                     CallOutcome::kTimeout};
    events_.push_back({Kind::kFailure, id, 0, kEnds[Draw(3)]});
  }

  void SendToken(const Event& event) {
    if (Chance(8)) {
      PushBreak(event.id_);
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
      RC_ASSERT(!unproven_);
    }
    if (finish_.whole_) {
      RC_ASSERT(request_.stage() + 1 == stages_.size());
      RC_ASSERT(!stages_.back().streams_ ||
                request_.output().text_ == WholeText());
    }
    // What comes after the end changes nothing.
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
  bool unproven_ = false;
};

}  // namespace

TEST_CASE("request under any order of events") {
  CHECK(rc::check("keeps its rules", [](uint64_t seed, bool strict,
                                        bool declared, bool streams) {
    std::vector<StagePlan> stages = {Plain("encode"), Plain("retrieve")};
    stages.push_back(StagePlan{"last", streams, strict, declared});
    for (uint64_t i = 0; i < 20; ++i) {
      World(seed + i, stages).Play();
    }
  }));
}

}  // namespace citronlane
