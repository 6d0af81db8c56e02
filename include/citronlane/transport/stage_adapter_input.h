#ifndef CITRONLANE_TRANSPORT_STAGE_ADAPTER_INPUT_H_
#define CITRONLANE_TRANSPORT_STAGE_ADAPTER_INPUT_H_

#include <string_view>

namespace citronlane {

struct PipelineInput;
struct StageConfig;
struct StageOutput;
struct StartCall;

/// Input of StageAdapter::WriteCall. Every pointer must be set and outlive that
/// call.
struct StageAdapterInput {
  const StageConfig* stage_ = nullptr;
  const PipelineInput* input_ = nullptr;
  /// Output of the earlier stages.
  const StageOutput* before_ = nullptr;
  const StartCall* call_ = nullptr;
  /// Text received so far, for calls that continue a stream.
  std::string_view text_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_ADAPTER_INPUT_H_
