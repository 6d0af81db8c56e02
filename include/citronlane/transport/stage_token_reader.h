#ifndef CITRONLANE_TRANSPORT_STAGE_TOKEN_READER_H_
#define CITRONLANE_TRANSPORT_STAGE_TOKEN_READER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "citronlane/request/token.h"

namespace citronlane {

/// Incremental parser for the tokens in an engine's stream of server-sent
/// events. Not thread safe.
class StageTokenReader {
 public:
  /// Receives one token; returning false stops the parser.
  using TokenHook = std::function<bool(const Token&)>;

  /// `max_event_bytes` limits the size of an incomplete line that is buffered.
  StageTokenReader(size_t max_event_bytes, TokenHook on_token);

  /// Parses the next fragment of the stream. Returns false if the stream is
  /// malformed, continues after `[DONE]` or the hook returned false; the reader
  /// must not be used afterwards.
  bool Feed(std::string_view fragment);

  /// Whether `data: [DONE]` was received.
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
