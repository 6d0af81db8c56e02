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

class StageCall;
class Waker;
struct RelayContext;

/// One call of a request to one backend server. Its reply gathers here until
/// the handler takes it. Used by the request's handler.
class ServerAttempt {
 public:
  /// What is called for whom.
  struct Names {
    /// What the reply must echo.
    std::string request_id_;
    std::string service_;
    std::string server_;
  };

  /// Starts the call. `context` outlives the attempt.
  ServerAttempt(const RelayContext* context,
                const std::shared_ptr<Waker>& waker,
                StageCallSpec spec,
                Names names);
  /// Cancels the call if it is under way.
  ~ServerAttempt();
  ServerAttempt(const ServerAttempt&) = delete;
  ServerAttempt& operator=(const ServerAttempt&) = delete;

  void Cancel();

  /// Whether bytes of the call were handed to a socket.
  bool was_sent() const;
  /// The reply's head is there.
  bool has_head() const;
  /// The reply is whole, or the call failed.
  bool is_done() const;
  /// Precondition: is_done().
  CallOutcome outcome() const;

  /// Precondition for these: has_head().
  int status() const;
  const std::vector<HttpHeader>& headers() const;
  const ServerReplyHead& reply() const;

  /// Bytes of the body that came in and were not taken yet.
  std::string TakeData();
  bool has_data() const;

 private:
  // What the hooks fill in; outlives the attempt.
  struct State;

  std::shared_ptr<State> state_;
  std::shared_ptr<StageCall> call_;
};

}  // namespace citronlane

#endif  // CITRONLANE_RELAY_SERVER_ATTEMPT_H_
