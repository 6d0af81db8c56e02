#ifndef CITRONLANE_REQUEST_TOKEN_H_
#define CITRONLANE_REQUEST_TOKEN_H_

#include <cstdint>
#include <string>

namespace citronlane {

/// One token of an engine's stream.
struct Token {
  /// Number of the token in the stream, from 0.
  uint64_t offset_ = 0;
  std::string text_;
  /// "stop" or "length" on the last token, empty before.
  std::string finish_reason_;
};

}  // namespace citronlane

#endif  // CITRONLANE_REQUEST_TOKEN_H_
