#ifndef CITRONLANE_TRANSPORT_STAGE_CALL_SPEC_H_
#define CITRONLANE_TRANSPORT_STAGE_CALL_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// One HTTP call to a backend server.
struct StageCallSpec {
  /// IP number and port.
  std::string address_;
  uint16_t port_ = 0;
  std::string method_ = "POST";
  std::string target_;
  /// Value of Host; the address and port when empty.
  std::string host_;
  /// Besides Host, Content-Length and Connection. Values hold no line ends.
  std::vector<HttpHeader> headers_;
  std::string body_;
  /// Where replies name their call in X-Attempt-Id: the connection is kept only
  /// after a reply that names this one.
  std::string attempt_id_;
  /// Kept connections are shared by calls of one group only: replies that name
  /// no call can be told apart within it, not beyond.
  std::string connection_group_;
  /// The call may not repeat: never on a kept-alive connection, which the
  /// server may close just as the call arrives.
  bool fresh_connection_ = false;
  /// A kept-alive connection that has been idle for this long is not used;
  /// with 0 a new one is made, and kept afterwards.
  std::optional<Duration> longest_idle_;
  /// Body is given piece by piece instead of whole.
  bool streams_ = false;
  TimePoint deadline_{};
  /// Longest silence once the body has begun; at most the client's limit,
  /// which holds when there is none.
  std::optional<Duration> silence_limit_;
  /// The silence limit holds before the body begins, too: the server has
  /// nothing to compute first.
  bool answers_at_once_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CALL_SPEC_H_
