#ifndef CITRONLANE_TESTS_FAKES_SERVER_SPEC_H_
#define CITRONLANE_TESTS_FAKES_SERVER_SPEC_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace citronlane::fakes {

/// Options of a fake server, from the fleet file.
struct ServerSpec {
  std::string id_;
  /// "encoder", "retriever", "reranker", "engine", "service" or "platform".
  std::string kind_;
  std::string pool_;
  std::string address_ = "127.0.0.1";
  /// 0 chooses a free port.
  uint16_t port_ = 0;
  bool reports_load_ = false;
  /// Engines: number of tokens in a reply, and microseconds between two tokens.
  size_t tokens_ = 0;
  int64_t pace_us_ = 0;
  /// Milliseconds before each reply.
  int64_t slow_ms_ = 0;
  /// Whether orders with an old fencing number are refused.
  bool checks_fencing_ = true;
  /// Whether calls are recorded.
  bool record_ = true;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_SERVER_SPEC_H_
