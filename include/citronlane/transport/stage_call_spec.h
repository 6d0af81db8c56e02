#ifndef CITRONLANE_TRANSPORT_STAGE_CALL_SPEC_H_
#define CITRONLANE_TRANSPORT_STAGE_CALL_SPEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/shared_text.h"
#include "citronlane/base/time.h"
#include "citronlane/transport/http_header.h"

namespace citronlane {

/// Parameters of one HTTP call to a backend server.
struct StageCallSpec {
  /// Returns "IP:port" of the server.
  std::string Endpoint() const {
    return address_ + ":" + std::to_string(port_);
  }

  /// IP address and port of the server.
  std::string address_;
  uint16_t port_ = 0;
  std::string method_ = "POST";
  std::string target_;
  /// Value of the Host header; address and port if empty.
  std::string host_;
  /// Headers other than Host, Content-Length and Connection. Must not contain
  /// line ends.
  std::vector<HttpHeader> headers_;
  SharedText body_;
  /// Id of this call if the server echoes X-Attempt-Id: the connection is then
  /// kept only after a reply that echoes this id. Empty if it doesn't.
  std::string attempt_id_;
  /// Kept connections are reused only by calls of the same group, within which
  /// replies without an id can still be matched to their calls.
  std::string connection_group_;
  /// Uses a new connection and doesn't keep it. For calls that must not be
  /// repeated: the server may close an idle connection just as the call
  /// arrives.
  bool fresh_connection_ = false;
  /// A kept connection that was idle for at least this long is not used. With
  /// 0, the call uses a new connection, which is kept afterwards.
  std::optional<Duration> max_idle_time_;
  /// Whether the body is passed to data_ in fragments instead of to done_.
  bool streams_ = false;
  TimePoint deadline_{};
  /// Maximum time without a byte once a stream's body has begun. The limit of
  /// the client, StageLimits::read_timeout_, applies in any case.
  std::optional<Duration> silence_limit_;
  /// Whether the silence limit applies before the body begins, too, because the
  /// server has nothing to compute first.
  bool replies_immediately_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_CALL_SPEC_H_
