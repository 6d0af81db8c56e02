#ifndef CITRONLANE_RELAY_SERVER_ATTEMPT_H_
#define CITRONLANE_RELAY_SERVER_ATTEMPT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"
#include "citronlane/serving/server_reply_head.h"
#include "citronlane/transport/http_header.h"
#include "citronlane/transport/stage_call_spec.h"

namespace citronlane {

class RequestSends;
class StageCall;
class Waker;
struct RelayContext;

/// One call of a request to one backend server. Buffers a bounded part of the
/// reply's body until the handler takes it; the rest is not read before. Used
/// by the request's handler.
class ServerAttempt {
 public:
  /// Names for matching and logging the reply.
  struct Names {
    /// The reply must repeat it.
    std::string request_id_;
    std::string service_;
    std::string server_;
    /// The call goes to another gateway, whose replies need not repeat the
    /// request id.
    bool is_gateway_ = false;
  };

  /// Starts the call. `context` and `sends` must outlive the attempt. `sends`
  /// counts the call; null for one to a gateway, which counts what it sends.
  ServerAttempt(const RelayContext* context,
                const std::shared_ptr<Waker>& waker,
                StageCallSpec spec,
                Names names,
                RequestSends* sends);
  /// Cancels the call if it is in progress.
  ~ServerAttempt();
  ServerAttempt(const ServerAttempt&) = delete;
  ServerAttempt& operator=(const ServerAttempt&) = delete;

  /// Ends the call if it is in progress; nothing arrives afterwards.
  void Cancel();

  /// Ends the call because its reply can't be used: its outcome is
  /// kServerError.
  void Reject();

  /// The reply looks complete, but its connection broke: its outcome is
  /// kClosedAfterSend. Precondition: is_done().
  void MarkBroken();

  /// Whether bytes of the call were handed to a socket.
  bool was_sent() const;
  /// Whether it was not sent because no repeat was left for it.
  bool was_denied() const;
  /// When that was last the case; nothing if it was not.
  std::optional<TimePoint> sent_at() const;
  /// Whether the reply's head has arrived.
  bool has_head() const;
  /// Whether the reply is complete or the call failed.
  bool is_done() const;
  /// Precondition: is_done().
  CallOutcome outcome() const;

  /// Precondition of these four: has_head().
  int status() const;
  const std::vector<HttpHeader>& headers() const;
  const ServerReplyHead& reply() const;
  /// Whether the reply has neither a length nor chunks, so that its end cannot
  /// be told from that of the server.
  bool ends_with_connection() const;

  /// Returns the bytes of the body that arrived since the last call; reading
  /// goes on.
  std::string TakeData();
  bool has_data() const;

 private:
  // Filled by the call's hooks; outlives the attempt.
  struct State;

  std::shared_ptr<State> state_;
  std::shared_ptr<StageCall> call_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_SERVER_ATTEMPT_H_
