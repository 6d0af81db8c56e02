#ifndef CITRONLANE_TRANSPORT_HTTP_EXCHANGE_H_
#define CITRONLANE_TRANSPORT_HTTP_EXCHANGE_H_

#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

/// Sends the response to one request. It belongs to the connection and is valid
/// while the handler runs. The handler calls either Reply once, or StartStream,
/// any number of Write, and then EndStream or Abort. Not thread safe: used on
/// the connection's thread, in the handler's coroutine.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Sends a complete response. Returns false if the caller has disconnected,
  /// or if a response was already sent or started; nothing is sent then.
  virtual bool Reply(const HttpReply& reply) = 0;

  /// Sends the head of a streamed response; `head.body_` is ignored. Returns
  /// the same as Reply.
  virtual bool StartStream(const HttpReply& head) = 0;
  /// Sends part of the body of a streamed response. Returns true when the bytes
  /// were passed to the socket; false if no stream is open, the caller has
  /// disconnected or doesn't read them in time.
  virtual bool Write(std::string_view bytes) = 0;
  /// Ends the stream. Returns the same as Write.
  virtual bool EndStream() = 0;
  /// Closes the connection without ending the stream, so that the caller can
  /// detect that it is incomplete.
  virtual void Abort() = 0;

  /// Suspends the handler until Notify is called, which also happens once when
  /// the caller disconnects. Returns immediately if Notify was
  /// called before.
  virtual void Wait() = 0;
  /// Wakes up Wait. May be called from any code on the connection's thread.
  virtual void Notify() = 0;
  /// Whether the caller has disconnected.
  virtual bool caller_gone() const = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_EXCHANGE_H_
