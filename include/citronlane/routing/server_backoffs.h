#ifndef CITRONLANE_ROUTING_SERVER_BACKOFFS_H_
#define CITRONLANE_ROUTING_SERVER_BACKOFFS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// The backend servers that have refused a call of this gateway with a
/// Retry-After, and until when they want no other one. What a server asks of
/// one gateway does not concern the others.
///
/// Servers may ask for any time. It is bounded, so that a nonsensical one does
/// not exclude a server for good, and the longest of several counts, since
/// replies may arrive out of order. Pure: time is passed in. Not thread safe.
class ServerBackoffs {
 public:
  /// A server refused a call with a Retry-After of `seconds`, which must not be
  /// negative. Returns the time that counts if the server was not in backoff
  /// before; nothing otherwise.
  std::optional<Duration> OnRefused(const std::string& server,
                                    double seconds,
                                    TimePoint now);
  /// Whether the server may get a call now.
  bool MayCall(std::string_view server, TimePoint now) const;
  /// Time until the server may get a call; zero when it may now.
  Duration Remaining(std::string_view server, TimePoint now) const;
  /// The servers that may get no call now.
  std::vector<std::string> InBackoff(TimePoint now) const;

  static constexpr Duration kMaxBackoff = std::chrono::minutes(5);

 private:
  void ForgetEnded(TimePoint now);

  /// When a server may get a call again.
  std::map<std::string, TimePoint, std::less<>> until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_BACKOFFS_H_
