#ifndef CITRONLANE_SERVING_DIALECT_H_
#define CITRONLANE_SERVING_DIALECT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/error.h"
#include "citronlane/serving/operator_call.h"
#include "citronlane/serving/request_head.h"
#include "citronlane/serving/server_call_head.h"
#include "citronlane/serving/server_page.h"
#include "citronlane/serving/server_reply_head.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/serving/stage_piece.h"
#include "citronlane/serving/stage_piece_result.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// Translates between the product's types and a platform's headers, paths and
/// bodies; everything that depends on a platform is behind these hooks. They
/// make no decisions. All must be set; all are thread safe except read_config_,
/// whose calls must not overlap.
struct Dialect {
  using Headers = absl::Span<const HttpHeader>;

  /// Reads an operator's document. Calls must not overlap, because results of
  /// one call are reused by the next. Returns null when the document cannot be
  /// parsed or makes no valid configuration, with one line for each validation
  /// error.
  std::function<std::shared_ptr<const ServingConfig>(
      std::string_view document,
      std::vector<std::string>* faults)>
      read_config_;
  std::function<OperatorCall(std::string_view method, std::string_view path)>
      operator_call_;
  /// Path of a gateway's readiness check.
  std::string ready_path_;

  std::function<RequestHead(Headers caller)> read_request_;
  /// Headers for the backend server: those of `head`, and the caller's without
  /// any that only a gateway may set.
  std::function<std::vector<HttpHeader>(Headers caller,
                                        const ServerCallHead& head)>
      write_call_;
  std::function<ServerReplyHead(int status, Headers reply)> read_reply_;

  /// Target of the call that lists servers, starting at a page ("" for the
  /// first).
  std::function<std::string(std::string_view page)> list_target_;
  std::function<std::optional<ServerPage>(std::string_view body, Error* error)>
      read_list_;

  /// Path at which a server reports its own state.
  std::string report_path_;
  /// Start time of the server's incarnation, in milliseconds since 1970;
  /// nothing when the report holds none.
  std::function<std::optional<int64_t>(std::string_view body)> read_report_;

  std::string stage_call_path_;
  std::function<std::string(absl::Span<const StagePiece> pieces)>
      write_stage_call_;
  /// One result for each piece, in the order of the pieces.
  std::function<std::optional<std::vector<StagePieceResult>>(
      std::string_view body,
      Error* error)>
      read_stage_reply_;
  std::string free_results_path_;
  std::function<std::string(absl::Span<const std::string> handles)>
      write_free_results_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_DIALECT_H_
