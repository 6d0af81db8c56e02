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
  /// X-Attempt-Id; empty when there is none.
  std::string echoed_id_;
  /// X-Load and X-Load-Age-Ms.
  std::optional<double> load_;
  Duration load_age_{};
  /// X-Draining: the server is leaving.
  bool draining_ = false;
  /// A status line stands within the head: an unfinished reply ran into the
  /// next one, and it can't be told which header is whose.
  bool is_two_in_one_ = false;
  /// The connection had carried other calls before: what comes in on it may
  /// answer one of them.
  bool kept_connection_ = false;
  std::vector<HttpHeader> headers_;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_REPLY_HEAD_H_
