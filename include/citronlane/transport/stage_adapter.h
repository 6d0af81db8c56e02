#ifndef CITRONLANE_TRANSPORT_STAGE_ADAPTER_H_
#define CITRONLANE_TRANSPORT_STAGE_ADAPTER_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/error.h"
#include "citronlane/config/stage_kind.h"
#include "citronlane/request/stage_output.h"
#include "citronlane/transport/stage_adapter_input.h"

namespace citronlane {

/// Formats calls and parses replies for each kind of stage. The JSON formats
/// are documented in docs/design/backend-calls.md. Immutable; thread safe.
class StageAdapter {
 public:
  /// Precondition: `kind` is not kService.
  explicit StageAdapter(StageKind kind);

  /// Returns the path of the call.
  std::string_view Target() const;

  /// Whether the reply is a stream of tokens.
  bool Streams() const { return kind_ == StageKind::kEngine; }

  /// Returns the JSON body of the call.
  std::string WriteCall(const StageAdapterInput& input) const;

  /// Parses a complete reply. Returns nothing and sets `error` if it doesn't
  /// have the format of this kind. `before` is the output of the earlier
  /// stages; a reranker's reply refers to its documents. Precondition:
  /// Streams() is false.
  std::optional<StageOutput> ReadReply(std::string_view body,
                                       const StageOutput& before,
                                       Error* error) const;

 private:
  const StageKind kind_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_ADAPTER_H_
