#include "support/engine_pool_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace citronlane {
namespace {

constexpr double kStep = 0.0034;
constexpr double kPerRunning = 0.0001;
constexpr double kTokensPerSecond = 44'200;
constexpr double kChunk = 512;
constexpr size_t kSlots = 48;
constexpr double kTokensPerEvent = 6;
constexpr double kSpellTime = 0.5;
constexpr double kSpellFactor = 4;
constexpr double kPatience = 6;

struct Kind {
  const char* route_;
  int keys_;
  double shared_;
  double own_;
  double events_;
  double target_;
  double weight_;
};
constexpr Kind kKinds[] = {{"digest", 8, 6300, 2890, 9, 1.1, 106},
                           {"brief", 8, 568, 1800, 4, 1.9, 78},
                           {"answer", 8, 172, 543, 47, 1.8, 101}};

}  // namespace

struct EnginePoolModel::Request {
  const Kind* kind_ = nullptr;
  double arrived_ = 0;
  double target_ = 0;
  std::vector<PromptSegment> prompt_;
  double prompt_tokens_ = 0;
  double to_read_ = 0;
  double tokens_ = 0;
  double made_ = 0;
  uint32_t estimate_ = 0;
  double first_event_ = 0;
  double worked_ = 0;
  EngineRun run_;
  EngineRouter* router_ = nullptr;
};

struct EnginePoolModel::Engine {
  std::string id_;
  double factor_ = 1;
  double free_at_ = 0;
  double spell_until_ = 0;
  double unused_since_ = 0;
  std::set<std::string> held_;
  std::deque<std::unique_ptr<Request>> waiting_;
  std::vector<std::unique_ptr<Request>> running_;
};

EnginePoolModel::EnginePoolModel(Options options)
    : options_(std::move(options)), random_(options_.seed_) {
  engines_.resize(options_.factors_.size());
  servers_.resize(engines_.size());
  for (size_t i = 0; i < engines_.size(); ++i) {
    engines_[i].id_ = "e" + std::to_string(i);
    engines_[i].factor_ = options_.factors_[i];
    servers_[i].id_ = engines_[i].id_;
  }
  NewRouter();
}

EnginePoolModel::~EnginePoolModel() = default;

void EnginePoolModel::NewRouter() {
  router_ = std::make_unique<EngineRouter>(std::chrono::seconds(9));
  std::vector<const BackendServer*> pointers;
  for (const BackendServer& server : servers_) {
    pointers.push_back(&server);
  }
  router_->Update(pointers);
  router_since_ = now_;
  learned_.clear();
  learned_after_ = -1;
  EngineRouter::Observer observer;
  observer.speed_changed_ = [this](const std::string& server, double prefill,
                                   double) {
    learned_[server] = prefill;
    NoteLearned();
  };
  router_->SetObserver(std::move(observer));
  if (options_.way_ == Way::kRoom) {
    router_->SetSpec(
        EngineSpec{kSlots, static_cast<uint64_t>(options_.memory_)});
  }
}

TimePoint EnginePoolModel::Now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(100 + now_)));
}

double EnginePoolModel::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

double EnginePoolModel::Normal(double deviation) {
  return std::normal_distribution<double>(0, deviation)(random_);
}

std::unique_ptr<EnginePoolModel::Request> EnginePoolModel::Draw() {
  auto request = std::make_unique<Request>();
  double weight = Uniform() * (106 + 78 + 101);
  const Kind* kind = kKinds;
  while (weight > kind->weight_) {
    weight -= (kind++)->weight_;
  }
  const bool is_long = Uniform() < options_.long_share_;
  const double own = is_long ? 5000 * std::exp(Uniform() * std::log(8))
                             : kind->own_ * std::exp(Normal(0.5));
  request->kind_ = kind;
  request->arrived_ = now_;
  request->target_ = kind->target_;
  request->prompt_ = {
      {kind->route_ + std::to_string(static_cast<int>(Uniform() * kind->keys_)),
       static_cast<uint32_t>(kind->shared_)},
      {"own", static_cast<uint32_t>(std::clamp(own, 300.0, 40'000.0))}};
  request->prompt_tokens_ =
      request->prompt_[0].tokens_ + request->prompt_[1].tokens_;
  request->tokens_ = std::clamp(
      kind->events_ * kTokensPerEvent * std::exp(Normal(0.5)), 6.0, 2000.0);
  request->estimate_ = static_cast<uint32_t>(
      std::clamp(request->tokens_ * std::exp(Normal(std::log(10))), 1.0, 2e4));
  return request;
}

// Mean time that a request takes at an engine of factor 1, with its shared
// segment held.
double EnginePoolModel::ServiceSeconds() {
  constexpr int kDraws = 2000;
  double sum = 0;
  for (int i = 0; i < kDraws; ++i) {
    const auto request = Draw();
    const double own = request->prompt_[1].tokens_;
    sum += own / kTokensPerSecond + own / kChunk * (kStep + 20 * kPerRunning) +
           request->tokens_ * kPerRunning;
  }
  return sum / kDraws;
}

std::string EnginePoolModel::Place(const EngineRouter::Call& call) {
  if (options_.way_ != Way::kQueueLength) {
    return *router_->Choose(Now(), call, {});
  }
  const auto shortest = std::min_element(
      engines_.begin(), engines_.end(), [](const Engine& a, const Engine& b) {
        return a.waiting_.size() + a.running_.size() <
               b.waiting_.size() + b.running_.size();
      });
  return shortest->id_;
}

void EnginePoolModel::Arrive() {
  auto request = Draw();
  EngineRouter::Call call;
  call.prompt_ = request->prompt_;
  call.sees_all_requests_ = true;
  call.route_ = request->kind_->route_;
  call.account_ = "account";
  call.max_output_tokens_ = 2000;
  call.expected_output_tokens_ = request->estimate_;
  const std::string id = Place(call);
  ++arrived_by_second_[static_cast<size_t>(now_)];
  request->run_ = router_->Begin(id, Now(), call);
  request->router_ = router_.get();
  const auto engine =
      std::find_if(engines_.begin(), engines_.end(),
                   [&id](const Engine& one) { return one.id_ == id; });
  engine->waiting_.push_back(std::move(request));
  engine->free_at_ = std::max(engine->free_at_, now_);
}

void EnginePoolModel::Admit(Engine* engine) {
  double memory = 0;
  for (const auto& request : engine->running_) {
    memory += request->prompt_.back().tokens_ + request->made_;
  }
  while (memory > options_.memory_ && engine->running_.size() > 1) {
    auto newest = std::move(engine->running_.back());
    engine->running_.pop_back();
    memory -= newest->prompt_.back().tokens_ + newest->made_;
    newest->to_read_ = newest->prompt_.back().tokens_ + newest->made_;
    vain_ += newest->worked_;
    newest->worked_ = 0;
    ++preemptions_;
    engine->waiting_.push_front(std::move(newest));
  }
  while (!engine->waiting_.empty() && engine->running_.size() < kSlots) {
    Request& next = *engine->waiting_.front();
    const double own = next.prompt_.back().tokens_ + next.made_;
    if (memory + own > options_.memory_ && !engine->running_.empty()) {
      return;
    }
    memory += own;
    const bool is_held = !engine->held_.insert(next.prompt_[0].id_).second;
    next.to_read_ = own + (is_held ? 0 : next.prompt_[0].tokens_);
    engine->running_.push_back(std::move(engine->waiting_.front()));
    engine->waiting_.pop_front();
  }
}

void EnginePoolModel::EndRequest(Request* request, CallOutcome outcome) {
  if (request->router_ != router_.get()) {
    return;
  }
  EngineOutput output;
  if (request->first_event_ > 0 && options_.way_ >= Way::kWork) {
    output.units_ = static_cast<uint32_t>(request->made_ / kTokensPerEvent);
    output.time_ =
        options_.way_ < Way::kSpeeds
            ? Duration()
            : std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double>(now_ - request->first_event_));
  }
  const bool may_learn = options_.way_ >= Way::kWork;
  router_->End(request->run_, Now(),
               may_learn ? outcome : CallOutcome::kCancelled, output);
}

void EnginePoolModel::ReadAndMake(Engine* engine) {
  const double slow = now_ < engine->spell_until_ ? kSpellFactor : 1;
  double read = 0;
  for (auto& request : engine->running_) {
    const double part = std::min(kChunk - read, request->to_read_);
    request->to_read_ -= part;
    request->worked_ += part / kTokensPerSecond * engine->factor_ * slow;
    read += part;
  }
  const double time =
      (kStep + kPerRunning * static_cast<double>(engine->running_.size()) +
       read / kTokensPerSecond) *
      engine->factor_ * slow;
  engine->free_at_ = now_ + time;
  worked_ += time;
  for (auto& request : engine->running_) {
    if (request->to_read_ > 0) {
      continue;
    }
    request->made_ += 1;
    request->worked_ += time / static_cast<double>(engine->running_.size());
    if (request->first_event_ > 0 || request->made_ < kTokensPerEvent) {
      continue;
    }
    request->first_event_ = now_ + time;
    const double after = request->first_event_ - request->arrived_;
    in_time_by_second_[static_cast<size_t>(request->arrived_)] +=
        after <= request->target_ ? 1 : 0;
    if (request->router_ == router_.get()) {
      router_->FirstEvent(&request->run_, Now(),
                          options_.way_ < Way::kSpeeds
                              ? Duration()
                              : std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(after)));
    }
  }
}

void EnginePoolModel::Step(Engine* engine) {
  const auto has_left = [this](const Request& request) {
    return request.first_event_ == 0 && now_ - request.arrived_ > kPatience;
  };
  for (auto& request : engine->running_) {
    if (request->made_ >= request->tokens_ && request->to_read_ <= 0) {
      EndRequest(request.get(), CallOutcome::kSuccess);
      request.reset();
    } else if (has_left(*request)) {
      vain_ += request->worked_;
      EndRequest(request.get(), CallOutcome::kCancelled);
      request.reset();
    }
  }
  const auto remove = [](auto* requests) {
    requests->erase(std::remove(requests->begin(), requests->end(), nullptr),
                    requests->end());
  };
  remove(&engine->running_);
  for (auto& request : engine->waiting_) {
    if (has_left(*request)) {
      vain_ += request->worked_;
      EndRequest(request.get(), CallOutcome::kCancelled);
      request.reset();
    }
  }
  remove(&engine->waiting_);
  Admit(engine);
  if (!engine->running_.empty()) {
    ReadAndMake(engine);
  }
}

double EnginePoolModel::LearnedOf(const Engine& engine) const {
  const auto it = learned_.find(engine.id_);
  return it == learned_.end() ? 1 : it->second;
}

void EnginePoolModel::NoteLearned() {
  // Only the engines' factors relative to each other matter.
  std::vector<double> learned;
  std::vector<double> true_ones;
  for (const Engine& engine : engines_) {
    learned.push_back(LearnedOf(engine));
    true_ones.push_back(engine.factor_);
  }
  std::sort(learned.begin(), learned.end());
  std::sort(true_ones.begin(), true_ones.end());
  const double scale =
      true_ones[true_ones.size() / 2] / learned[learned.size() / 2];
  const auto known = std::count_if(
      engines_.begin(), engines_.end(), [&](const Engine& engine) {
        const double ratio = LearnedOf(engine) * scale / engine.factor_;
        return ratio > 0.75 && ratio < 1.25;
      });
  if (learned_after_ < 0 &&
      known * 10 >= static_cast<std::ptrdiff_t>(engines_.size()) * 9) {
    learned_after_ = now_ - router_since_;
  }
}

void EnginePoolModel::NoteUnused() {
  const bool is_any_full =
      std::any_of(engines_.begin(), engines_.end(), [](const Engine& engine) {
        return !engine.waiting_.empty() && !engine.running_.empty();
      });
  for (Engine& engine : engines_) {
    if (!is_any_full || !engine.running_.empty() || !engine.waiting_.empty()) {
      engine.unused_since_ = now_;
    }
    longest_unused_ = std::max(longest_unused_, now_ - engine.unused_since_);
  }
}

EnginePoolModel::Result EnginePoolModel::Run() {
  double speed = 0;
  for (const Engine& engine : engines_) {
    speed += 1 / engine.factor_;
  }
  const double gap = ServiceSeconds() / speed / options_.load_;
  const auto whole = static_cast<size_t>(options_.seconds_) + 1;
  arrived_by_second_.assign(whole, 0);
  in_time_by_second_.assign(whole, 0);
  constexpr double kTick = 0.001;
  double next = 0;
  bool is_new = options_.new_router_at_ == 0;
  for (now_ = 0; now_ < options_.seconds_ + kPatience; now_ += kTick) {
    if (!is_new && now_ >= options_.new_router_at_) {
      is_new = true;
      NewRouter();
    }
    for (; next <= now_ && now_ < options_.seconds_;
         next += gap * -std::log(1 - Uniform())) {
      Arrive();
    }
    for (Engine& engine : engines_) {
      if (Uniform() < options_.spells_per_second_ * kTick) {
        engine.spell_until_ = now_ + kSpellTime;
      }
      if (engine.free_at_ <= now_) {
        Step(&engine);
      }
    }
    NoteUnused();
  }
  Result result;
  for (size_t i = 0; i < whole; ++i) {
    result.arrived_ += arrived_by_second_[i];
    result.in_time_ += in_time_by_second_[i];
    result.by_second_.push_back(static_cast<double>(in_time_by_second_[i]) /
                                std::max(1, arrived_by_second_[i]));
  }
  result.longest_unused_ = longest_unused_;
  result.learned_after_ = learned_after_;
  result.in_vain_ = vain_ / worked_;
  result.preemptions_ = preemptions_;
  return result;
}

}  // namespace citronlane
