#ifndef CITRONLANE_CONFIG_STAGE_KIND_H_
#define CITRONLANE_CONFIG_STAGE_KIND_H_

#include <optional>
#include <string_view>

namespace citronlane {

/// Kind of the work that a pool of backend servers does.
enum class StageKind {
  kEncoder,
  kRetriever,
  kReranker,
  kEngine,
  kService,
};

/// Returns "encoder", "retriever", "reranker", "engine" or "service". Thread
/// safe.
std::string_view ToString(StageKind kind);

/// Returns the kind with that text, or nullopt. Thread safe.
std::optional<StageKind> ParseStageKind(std::string_view text);

}  // namespace citronlane

#endif  // CITRONLANE_CONFIG_STAGE_KIND_H_
