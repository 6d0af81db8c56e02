#ifndef CITRONLANE_GATEWAY_RESPONSE_WRITER_H_
#define CITRONLANE_GATEWAY_RESPONSE_WRITER_H_

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

/// Formats pipeline results for the route that was called, either as one
/// complete JSON body or as server-sent events. Immutable; thread safe.
class ResponseWriter {
 public:
  ResponseWriter(CallerRequest::Kind kind,
                 std::string request_id,
                 std::string pipeline,
                 uint64_t config_version);

  /// Returns the headers common to all responses.
  std::vector<HttpHeader> Headers() const;
  /// Returns the X-Cost-By-Stage header: cost and number of calls per stage.
  static HttpHeader CostHeader(absl::Span<const StageCost> costs);

  /// Returns the body of a response that is not streamed.
  std::string CompleteResponse(const StageOutput& output,
                               absl::Span<const StageCost> costs) const;
  /// Returns one event that carries the next part of the text.
  std::string TextEvent(const EmitText& text) const;
  /// Returns the events that end a successful stream: finish reason and cost
  /// report, then `[DONE]`.
  std::string FinalEvents(const StageOutput& output,
                          absl::Span<const StageCost> costs) const;
  /// Returns the event that ends a failed stream. `problem` is the JSON body of
  /// the refusal.
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

#endif  // CITRONLANE_GATEWAY_RESPONSE_WRITER_H_
