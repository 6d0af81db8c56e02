#ifndef CITRONLANE_ROUTING_SERVER_RESTS_H_
#define CITRONLANE_ROUTING_SERVER_RESTS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/time.h"

namespace citronlane {

/// The backend servers that have refused a call of this gateway and asked it to
/// send nothing for a time. Each gateway is asked by itself: what one is asked
/// does not concern the others.
///
/// Servers may ask for any time. It is bounded, so that a nonsensical one does
/// not exclude a server for good, and the longest of several counts, since
/// replies may arrive out of order. Pure: time is passed in. Not thread safe.
class ServerRests {
 public:
  /// A server refused a call and asked for a rest of `seconds`, which must not
  /// be negative. Returns the time that counts if the server was not resting
  /// before; nothing otherwise.
  std::optional<Duration> OnRefused(const std::string& server,
                                    double seconds,
                                    TimePoint now);
  /// Whether the server may get a call now.
  bool MayCall(std::string_view server, TimePoint now) const;
  /// How much longer the server rests; zero when it does not.
  Duration Left(std::string_view server, TimePoint now) const;
  /// The servers that rest now.
  std::vector<std::string> Resting(TimePoint now) const;

  static constexpr Duration kMaxRest = std::chrono::minutes(5);

 private:
  void ForgetEnded(TimePoint now);

  /// When the rest of a server ends.
  std::map<std::string, TimePoint, std::less<>> until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_SERVER_RESTS_H_
