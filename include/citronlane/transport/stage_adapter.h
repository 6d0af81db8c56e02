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

/// Writes the calls and reads the replies of each kind of stage, in the shapes
/// of docs/design/backend-calls.md. Stateless; thread safe.
class StageAdapter {
 public:
  /// Precondition for all: `kind` is not kService.
  explicit StageAdapter(StageKind kind);

  /// Path of the call.
  std::string_view Target() const;

  /// Whether the reply is a stream of tokens.
  bool Streams() const { return kind_ == StageKind::kEngine; }

  /// Writes the JSON body of the call.
  std::string WriteCall(const StageAdapterInput& input) const;

  /// Reads a whole reply. Returns nothing and a reason when it has not the
  /// kind's shape. `before` is what the earlier stages gave. Precondition:
  /// Streams() is false.
  std::optional<StageOutput> ReadReply(std::string_view body,
                                       const StageOutput& before,
                                       Error* error) const;

 private:
  const StageKind kind_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_ADAPTER_H_
