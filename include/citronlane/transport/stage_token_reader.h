#ifndef CITRONLANE_TRANSPORT_STAGE_TOKEN_READER_H_
#define CITRONLANE_TRANSPORT_STAGE_TOKEN_READER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "citronlane/request/token.h"

namespace citronlane {

/// Reads an engine's server-sent events piece by piece. Not thread safe.
class StageTokenReader {
 public:
  /// Takes one token; false stops the reading.
  using TokenHook = std::function<bool(const Token&)>;

  /// `max_event_bytes` bounds one event.
  StageTokenReader(size_t max_event_bytes, TokenHook on_token);

  /// Takes the next piece. Returns false when the stream is malformed or the
  /// hook said to stop.
  bool Feed(std::string_view piece);

  /// Whether `data: [DONE]` was read.
  bool done() const { return done_; }

 private:
  bool ReadLine(std::string_view line);
  bool ReadEvent(std::string_view data);

  const size_t max_event_bytes_;
  const TokenHook on_token_;
  std::string pending_;
  bool done_ = false;
};

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_STAGE_TOKEN_READER_H_
