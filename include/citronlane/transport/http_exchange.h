#ifndef CITRONLANE_TRANSPORT_HTTP_EXCHANGE_H_
#define CITRONLANE_TRANSPORT_HTTP_EXCHANGE_H_

#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/transport/http_reply.h"

namespace citronlane {

/// The answering side of one caller's request, lent to the handler. Exactly
/// one of Reply, or StartStream with EndStream or Abort, is called. Not thread
/// safe: used on the connection's thread only.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Sends the whole reply. Returns false when the caller is gone, or when the
  /// request was answered before: then nothing is sent.
  virtual bool Reply(const HttpReply& reply) = 0;

  /// Sends the head of a streamed reply; `head.body_` is not used. Returns as
  /// Reply does.
  virtual bool StartStream(const HttpReply& head) = 0;
  /// Precondition: a stream was started. Returns when the bytes are handed
  /// over, or false when the caller is gone or takes none.
  virtual bool Write(std::string_view bytes) = 0;
  /// Ends the stream cleanly.
  virtual bool EndStream() = 0;
  /// Closes the connection with the stream visibly cut.
  virtual void Abort() = 0;

  /// Suspends the handler until Notify is called; a caller that goes away
  /// calls it too, once. A Notify before Wait is not lost.
  virtual void Wait() = 0;
  /// Wakes Wait. May be called from any function on the same thread.
  virtual void Notify() = 0;
  /// Whether the caller closed its connection.
  virtual bool caller_gone() const = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_HTTP_EXCHANGE_H_
