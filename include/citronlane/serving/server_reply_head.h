#ifndef CITRONLANE_SERVING_SERVER_REPLY_HEAD_H_
#define CITRONLANE_SERVING_SERVER_REPLY_HEAD_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// Contents of the headers of a backend server's reply.
struct ServerReplyHead {
  /// Id of the request that the reply belongs to; empty when missing.
  std::string request_id_;
  /// The server states that it did not run the request and never will.
  bool not_run_ = false;
  /// Another server has the address; the intended one is gone.
  bool wrong_server_ = false;
  /// Whether the reply has a response seal: the server's checksum that shows
  /// that the reply is complete and of this request.
  bool sealed_ = false;
  /// The request id or the response seal appears more than once.
  bool is_ambiguous_ = false;
  /// Requests a second that the server takes from all gateways together;
  /// nothing when it names no limit.
  std::optional<double> max_per_second_;
  /// Calls a second that the server bears to refuse for want of room, without
  /// falling over; nothing when it names no number.
  std::optional<double> max_refusals_;
  /// The server refuses the call and wants none of this gateway for so many
  /// seconds; nothing when it names no time. Not negative, of any size.
  std::optional<double> retry_after_seconds_;
  /// The server is shutting down and wants no new calls, whatever the list
  /// says.
  bool leaving_ = false;
  /// How long the server keeps the idle connection open.
  std::optional<Duration> idle_time_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVER_REPLY_HEAD_H_
