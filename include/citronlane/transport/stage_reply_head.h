#ifndef CITRONLANE_TRANSPORT_STAGE_REPLY_HEAD_H_
#define CITRONLANE_TRANSPORT_STAGE_REPLY_HEAD_H_

#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// Status and headers of a backend server's reply.
struct StageReplyHead {
  int status_ = 0;
  /// Value of X-Attempt-Id; empty if there is none.
  std::string echoed_id_;
  /// Values of X-Load, if it is valid, and X-Load-Age-Ms.
  std::optional<double> load_;
  Duration load_age_{};
  /// Whether X-Draining is 1: the server is draining.
  bool draining_ = false;
  /// Whether the head contains a second status line or X-Attempt-Id: an
  /// incomplete reply ran into the next one, and it can't be determined which
  /// header belongs to which.
  bool is_merged_ = false;
  /// Whether the connection was used for other calls before, so that the reply
  /// may belong to one of them.
  bool reused_connection_ = false;
  std::vector<HttpHeader> headers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_REPLY_HEAD_H_
