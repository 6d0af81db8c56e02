#ifndef CITRONLANE_TESTS_SUPPORT_ENGINE_POOL_MODEL_H_
#define CITRONLANE_TESTS_SUPPORT_ENGINE_POOL_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "citronlane/routing/engine_router.h"

namespace citronlane {

/// A pool of model engines that work in steps: each step reads a chunk of a
/// prompt and makes one token for every request that has been read. Requests
/// arrive at random and are placed by one router.
class EnginePoolModel {
 public:
  /// What a placement goes by.
  enum class Way { kQueueLength, kTokens, kWork, kSpeeds, kRoom };

  struct Options {
    Way way_ = Way::kTokens;
    /// Multiples of a step's time, by engine.
    std::vector<double> factors_;
    /// Each engine is four times slower for half a second, so often a second.
    double spells_per_second_ = 0;
    /// Arrivals, as a share of what the engines can do.
    double load_ = 0.8;
    /// Tokens that an engine can hold.
    double memory_ = 333'790;
    /// Share of requests with prompts of up to 40,000 tokens.
    double long_share_ = 0.02;
    double seconds_ = 30;
    /// When a new router takes over, in seconds; 0 for never.
    double new_router_at_ = 0;
    unsigned seed_ = 1;
  };

  struct Result {
    int arrived_ = 0;
    int in_time_ = 0;
    /// Of all engine time: spent on requests that their callers left.
    double in_vain_ = 0;
    int preemptions_ = 0;
    /// Longest time that an engine had nothing to do while requests waited for
    /// a slot or memory at another one, in seconds.
    double longest_unused_ = 0;
    /// From the last router's start until it knew nine in ten engines' time
    /// factors to a quarter, in seconds; negative if it never did.
    double learned_after_ = -1;
    /// Share in time by second of arrival.
    std::vector<double> by_second_;

    double InTime() const { return static_cast<double>(in_time_) / arrived_; }
  };

  explicit EnginePoolModel(Options options);
  ~EnginePoolModel();

  Result Run();

 private:
  struct Request;
  struct Engine;

  double Normal(double deviation);
  double Uniform();
  std::unique_ptr<Request> Draw();
  double ServiceSeconds();
  std::string Place(const EngineRouter::Call& call);
  void Arrive();
  void Step(Engine* engine);
  void Admit(Engine* engine);
  void ReadAndMake(Engine* engine);
  void EndRequest(Request* request, CallOutcome outcome);
  void NewRouter();
  void NoteUnused();
  double LearnedOf(const Engine& engine) const;
  void NoteLearned();
  TimePoint Now() const;

  const Options options_;
  std::mt19937 random_;
  std::vector<BackendServer> servers_;
  std::deque<Engine> engines_;
  std::unique_ptr<EngineRouter> router_;
  double router_since_ = 0;
  /// Time factors that the router has learned, by engine.
  std::map<std::string, double> learned_;
  double learned_after_ = -1;
  double now_ = 0;
  std::vector<int> arrived_by_second_;
  std::vector<int> in_time_by_second_;
  double vain_ = 0;
  double worked_ = 0;
  int preemptions_ = 0;
  double longest_unused_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TESTS_SUPPORT_ENGINE_POOL_MODEL_H_
