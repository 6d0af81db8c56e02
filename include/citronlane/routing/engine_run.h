#ifndef CITRONLANE_ROUTING_ENGINE_RUN_H_
#define CITRONLANE_ROUTING_ENGINE_RUN_H_

#include <cstdint>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// A request at a model engine, as its router counts it.
struct EngineRun {
  std::string server_;
  /// Prompt tokens that the engine has still to read for it.
  double unread_ = 0;
  /// The router sees all requests, so that the next members are known.
  bool is_counted_ = false;
  /// Work before its first event, in prompt tokens at the pool's speed.
  double work_ = 0;
  /// Units of output expected, and tokens of memory held at its end.
  double output_ = 0;
  double memory_ = 0;
  TimePoint began_;
  /// Prompt tokens that it adds to what the engine has to read, and requests
  /// beside it at its start.
  double prefill_ = 0;
  double running_ = 0;
  /// Prompt tokens that the engine had read in all when its first event came;
  /// negative before that.
  double read_before_ = -1;
  /// Shared prompt segment that it uses.
  std::string segment_;
  std::string route_;
  std::string account_;
  uint32_t expected_output_tokens_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_ENGINE_RUN_H_
