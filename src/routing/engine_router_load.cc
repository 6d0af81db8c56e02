#include <algorithm>
#include <cmath>
#include <vector>

#include "citronlane/routing/detail/prompt_tokens.h"
#include "citronlane/routing/engine_router.h"

namespace citronlane {
namespace {

/// A time factor that changes by less is not told to the observer.
constexpr double kTellingChange = 1.2;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

bool IsTelling(double now, double told) {
  return std::abs(std::log(now / told)) >= std::log(kTellingChange);
}

}  // namespace

EngineRouter::TimeFactors EngineRouter::FactorsOf(const Engine& engine,
                                                  TimePoint now) {
  const EngineSpeed& prefill = engine.prefill_speed_;
  const EngineSpeed& decode = engine.decode_speed_;
  return {(prefill.IsKnown(now) ? prefill : decode).TimeFactor(now),
          (decode.IsKnown(now) ? decode : prefill).TimeFactor(now)};
}

EngineRouter::Need EngineRouter::NeedOf(TimePoint now, const Call& call) {
  if (!call.sees_all_requests_) {
    return {};
  }
  RequestFacts facts;
  facts.route_ = call.route_;
  facts.account_ = call.account_;
  facts.segment_tokens_ = AllTokens(call.prompt_);
  facts.prompt_tokens_ = call.prompt_tokens_;
  facts.max_output_tokens_ = call.max_output_tokens_;
  facts.expected_output_tokens_ = call.expected_output_tokens_;
  const RequestCost cost = costs_.Estimate(now, facts);
  Need need;
  need.shared_ = AllTokens(call.prompt_) - OwnTokens(call.prompt_);
  need.own_ = std::max(0.0, cost.memory_.expected_ - need.shared_);
  need.own_upper_ = std::max(need.own_, cost.memory_.upper_ - need.shared_);
  need.output_ = cost.output_.expected_;
  return need;
}

double EngineRouter::RoomWait(const Engine& engine,
                              const TimeFactors& factors,
                              const Need& need,
                              const Call& call) const {
  if (!spec_ || !call.sees_all_requests_ || engine.running_ < 1) {
    return 0;
  }
  const auto capacity = static_cast<double>(spec_->memory_tokens_);
  double excess = 0;
  if (capacity > 0) {
    excess = engine.memory_ + need.own_upper_ + need.shared_ - capacity;
    if (excess > 0 &&
        engine.segment_uses_.count(SharedSegmentId(call.prompt_)) != 0) {
      excess -= need.shared_;
    }
    excess = std::max(0.0, excess);
  }
  const double over =
      std::max(0.0, engine.running_ + 1 - std::max(1U, spec_->slots_));
  if (excess == 0 && over == 0) {
    return 0;
  }
  const auto per_output = decode_pace_.Mean();
  const auto per_token = prefill_pace_.PerUnit();
  if (!per_output || !per_token || *per_token <= 0) {
    return 0;
  }
  // Those running end one after the other within the time of their output.
  const double all_end = engine.output_ / engine.running_ * *per_output *
                         factors.decode_ / *per_token;
  const double part = std::max(
      over / engine.running_, engine.memory_ > 0 ? excess / engine.memory_ : 0);
  // A request that is preempted is read again.
  return std::max(excess * factors.prefill_, std::min(1.0, part) * all_end);
}

bool EngineRouter::HasRoom(const Engine& engine) const {
  if (!spec_) {
    return true;
  }
  const auto capacity = static_cast<double>(spec_->memory_tokens_);
  return engine.running_ <= std::max(1U, spec_->slots_) &&
         (capacity == 0 || engine.memory_ <= capacity);
}

EngineRun EngineRouter::Begin(std::string_view server,
                              TimePoint now,
                              const Call& call) {
  EngineRun run;
  run.server_ = std::string(server);
  Engine* engine = Find(server);
  if (engine == nullptr) {
    return run;
  }
  if (!call.sees_all_requests_) {
    run.unread_ = OnStart(server, now, call);
    return run;
  }
  const bool is_cached =
      engine->segment_last_use_.count(SharedSegmentId(call.prompt_)) != 0;
  const double prefill =
      is_cached ? OwnTokens(call.prompt_) : AllTokens(call.prompt_);
  run.is_counted_ = true;
  run.work_ = Cost(*engine, TimeFactors(), prefill, 0, call);
  run.began_ = now;
  run.prefill_ = prefill;
  run.running_ = engine->running_;
  run.segment_ = SharedSegmentId(call.prompt_);
  run.route_ = std::string(call.route_);
  run.account_ = std::string(call.account_);
  run.expected_output_tokens_ = call.expected_output_tokens_;
  AddRun(engine, NeedOf(now, call), &run);
  run.unread_ = OnStart(server, now, call);
  return run;
}

void EngineRouter::AddRun(Engine* engine, const Need& need, EngineRun* run) {
  run->output_ = need.output_;
  run->memory_ = need.own_upper_;
  engine->output_ += run->output_;
  engine->memory_ += run->memory_;
  SegmentUse& use = engine->segment_uses_[run->segment_];
  if (++use.requests_ == 1) {
    use.tokens_ = need.shared_;
    engine->memory_ += need.shared_;
  }
}

void EngineRouter::RemoveRun(Engine* engine, const EngineRun& run) {
  const auto use = engine->segment_uses_.find(run.segment_);
  if (use != engine->segment_uses_.end() && --use->second.requests_ == 0) {
    engine->memory_ -= use->second.tokens_;
    engine->segment_uses_.erase(use);
  }
  engine->output_ = std::max(0.0, engine->output_ - run.output_);
  engine->memory_ = std::max(0.0, engine->memory_ - run.memory_);
  if (engine->running_ == 0) {
    // Sums of fractions may leave a remainder.
    engine->output_ = 0;
    engine->memory_ = 0;
    engine->segment_uses_.clear();
  }
}

void EngineRouter::FirstEvent(EngineRun* run, TimePoint now, Duration after) {
  Engine* engine = Find(run->server_);
  if (engine == nullptr) {
    return;
  }
  OnFirstEvent(run->server_, run->unread_);
  if (run->is_counted_) {
    LearnPrefill(engine, now, *run, after);
    run->read_before_ = engine->read_tokens_;
  }
  run->unread_ = 0;
}

// Engines read one prompt after the other, so a request's own prefill lasts
// from the end of the one before it. The time that it waited says nothing: the
// slower an engine is, the less waits there.
void EngineRouter::LearnPrefill(Engine* engine,
                                TimePoint now,
                                const EngineRun& run,
                                Duration after) {
  engine->read_tokens_ += run.unread_;
  if (after <= Duration()) {
    return;
  }
  const TimePoint ended = run.began_ + after;
  const TimePoint started = std::max(run.began_, engine->last_read_);
  engine->last_read_ = std::max(engine->last_read_, ended);
  if (const auto expected = prefill_pace_.Expected(run.work_);
      expected && observer_.first_event_) {
    const double here = *expected * FactorsOf(*engine, now).prefill_;
    observer_.first_event_(std::chrono::duration_cast<Duration>(
                               std::chrono::duration<double>(here)),
                           after);
  }
  // Without room for all its requests, it also waited for others to end.
  if (ended <= started || !HasRoom(*engine)) {
    return;
  }
  const double seen = Seconds(ended - started);
  const double work = run.prefill_ + run.running_ * kTokensPerRunningRequest;
  if (const auto expected = prefill_pace_.Expected(work)) {
    engine->prefill_speed_.Add(now, seen, *expected);
    NoteSpeed(engine, now);
  }
  prefill_pace_.Add(work, seen);
}

void EngineRouter::End(const EngineRun& run,
                       TimePoint now,
                       CallOutcome outcome,
                       const EngineOutput& output) {
  Engine* engine = Find(run.server_);
  if (engine == nullptr) {
    return;
  }
  if (outcome == CallOutcome::kSuccess && run.is_counted_) {
    LearnOutput(engine, now, run, output);
  }
  OnFinish(run.server_, now, outcome, run.unread_);
  if (run.is_counted_) {
    RemoveRun(engine, run);
  }
}

void EngineRouter::LearnOutput(Engine* engine,
                               TimePoint now,
                               const EngineRun& run,
                               const EngineOutput& output) {
  if (run.read_before_ < 0) {
    return;
  }
  RequestFacts facts;
  facts.route_ = run.route_;
  facts.account_ = run.account_;
  facts.expected_output_tokens_ = run.expected_output_tokens_;
  costs_.Learn(now, facts, 1.0 + output.units_);
  if (output.units_ == 0 || output.time_ <= Duration()) {
    return;
  }
  const double seen = Seconds(output.time_) / output.units_;
  const double read =
      std::max(0.0, engine->read_tokens_ - run.read_before_) / output.units_;
  const double running = (run.running_ + engine->running_) / 2;
  const double work = read + running * kTokensPerRunningRequest;
  if (const auto expected = decode_pace_.Expected(work)) {
    engine->decode_speed_.Add(now, seen, *expected);
    NoteSpeed(engine, now);
  }
  decode_pace_.Add(work, seen);
}

void EngineRouter::NoteSpeed(Engine* engine, TimePoint now) {
  const TimeFactors factors = FactorsOf(*engine, now);
  if (!IsTelling(factors.prefill_, engine->told_prefill_) &&
      !IsTelling(factors.decode_, engine->told_decode_)) {
    return;
  }
  engine->told_prefill_ = factors.prefill_;
  engine->told_decode_ = factors.decode_;
  if (observer_.speed_changed_) {
    observer_.speed_changed_(engine->id_, factors.prefill_, factors.decode_);
  }
}

EngineRouter::SpeedSpread EngineRouter::Speeds(TimePoint now) const {
  std::vector<double> factors;
  for (const auto& [id, engine] : engines_) {
    factors.push_back(FactorsOf(engine, now).prefill_);
  }
  if (factors.empty()) {
    return {};
  }
  std::sort(factors.begin(), factors.end());
  return {factors.front(), factors[factors.size() / 2], factors.back()};
}

}  // namespace citronlane
