#ifndef CITRONLANE_REQUEST_STAGE_OUTPUT_H_
#define CITRONLANE_REQUEST_STAGE_OUTPUT_H_

#include <optional>
#include <string>
#include <vector>

#include "citronlane/request/document.h"

namespace citronlane {

/// Output of a stage, which is the input of later ones. Each kind of stage
/// fills its own fields.
struct StageOutput {
  /// Encoder: the embedding, as the JSON array in its reply.
  std::optional<std::string> embedding_;
  /// Retriever and reranker: documents, best first.
  std::optional<std::vector<Document>> documents_;
  /// Engine: the text.
  std::optional<std::string> text_;
  /// Engine: "stop" or "length".
  std::string finish_reason_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_STAGE_OUTPUT_H_
