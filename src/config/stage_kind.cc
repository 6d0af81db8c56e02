#include "citronlane/config/stage_kind.h"

#include <array>
#include <utility>

namespace citronlane {
namespace {

constexpr std::array<std::pair<StageKind, std::string_view>, 5> kKinds = {{
    {StageKind::kEncoder, "encoder"},
    {StageKind::kRetriever, "retriever"},
    {StageKind::kReranker, "reranker"},
    {StageKind::kEngine, "engine"},
    {StageKind::kService, "service"},
}};

}  // namespace

std::string_view ToString(StageKind kind) {
  for (const auto& [value, text] : kKinds) {
    if (value == kind) {
      return text;
    }
  }
  return "service";
}

std::optional<StageKind> ParseStageKind(std::string_view text) {
  for (const auto& [value, name] : kKinds) {
    if (name == text) {
      return value;
    }
  }
  return std::nullopt;
}

}  // namespace citronlane
