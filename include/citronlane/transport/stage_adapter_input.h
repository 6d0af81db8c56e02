#ifndef CITRONLANE_TRANSPORT_STAGE_ADAPTER_INPUT_H_
#define CITRONLANE_TRANSPORT_STAGE_ADAPTER_INPUT_H_

#include <string_view>

namespace citronlane {

struct PipelineInput;
struct StageConfig;
struct StageOutput;
struct StartCall;

/// All that a stage call is written from. Every pointer is set and outlives
/// the call of WriteCall.
struct StageAdapterInput {
  const StageConfig* stage_ = nullptr;
  const PipelineInput* input_ = nullptr;
  /// What the earlier stages gave.
  const StageOutput* before_ = nullptr;
  const StartCall* call_ = nullptr;
  /// Text of the stream as far as it came, for calls that continue it.
  std::string_view text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_ADAPTER_INPUT_H_
