#ifndef CITRONLANE_SERVING_SERVER_REPLY_HEAD_H_
#define CITRONLANE_SERVING_SERVER_REPLY_HEAD_H_

#include <optional>
#include <string>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a backend server's headers say of its reply.
struct ServerReplyHead {
  /// Id of the request that the reply belongs to; empty when it names none.
  std::string request_id_;
  /// The server says that it did not run the request and never will.
  bool not_run_ = false;
  /// Another server has the address: the one that was meant is gone.
  bool wrong_server_ = false;
  /// Carries the server's proof that the answer is its own.
  bool sealed_ = false;
  /// The request, or the seal, stands there more than once.
  bool is_ambiguous_ = false;
  /// How long the server keeps the idle connection.
  std::optional<Duration> idle_time_;
};

}  // namespace citronlane

#endif  // CITRONLANE_SERVING_SERVER_REPLY_HEAD_H_
