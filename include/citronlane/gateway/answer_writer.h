#ifndef CITRONLANE_GATEWAY_ANSWER_WRITER_H_
#define CITRONLANE_GATEWAY_ANSWER_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/gateway/caller_request.h"
#include "citronlane/gateway/stage_cost.h"
#include "citronlane/json/value.h"
#include "citronlane/request/emit_text.h"
#include "citronlane/request/stage_output.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// Writes the answers of pipelines in the shape of the route that was called:
/// whole, or as server-sent events. Stateless; thread safe.
class AnswerWriter {
 public:
  AnswerWriter(CallerRequest::Kind kind,
               std::string request_id,
               std::string pipeline,
               uint64_t config_version);

  /// Headers of every answer.
  std::vector<HttpHeader> Headers() const;
  /// The header that shows cost and calls of each stage.
  static HttpHeader CostHeader(absl::Span<const StageCost> costs);

  std::string Whole(const StageOutput& output,
                    absl::Span<const StageCost> costs) const;
  /// One event with the next text.
  std::string TextEvent(const EmitText& text) const;
  /// The events that end a whole answer.
  std::string LastEvents(const StageOutput& output,
                         absl::Span<const StageCost> costs) const;
  /// The event that says that the answer can't be completed.
  static std::string ErrorEvent(std::string_view problem);

 private:
  JsonValue Frame(std::string_view object) const;
  void AddReport(const StageOutput& output,
                 absl::Span<const StageCost> costs,
                 JsonValue* frame) const;

  const CallerRequest::Kind kind_;
  const std::string request_id_;
  const std::string pipeline_;
  const uint64_t config_version_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_ANSWER_WRITER_H_
