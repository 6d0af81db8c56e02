#ifndef CITRONLANE_TRANSPORT_CONNECTION_ACTIVITY_H_
#define CITRONLANE_TRANSPORT_CONNECTION_ACTIVITY_H_

#include <cstdint>
#include <string_view>

#include "citronlane/base/time.h"

namespace citronlane {

/// What a caller's connection is doing, as far as it decides which connection
/// is closed when others need its place.
struct ConnectionActivity {
  enum class Phase {
    /// No byte of the first request has arrived.
    kNew,
    /// Between two requests.
    kIdle,
    /// A request is arriving.
    kReading,
    kServing,
    /// A refusal was sent; waits for the caller to close.
    kClosing,
  };

  Phase phase_ = Phase::kNew;
  /// When the phase began.
  TimePoint since_;
  /// Bytes of the current request so far.
  uint64_t received_ = 0;
};

/// What the place of a closed connection is needed for.
enum class PlaceNeeded {
  /// For another connection: every phase but kServing has one.
  kConnection,
  /// For another request: connections that are reading one have it.
  kRequest,
};

/// Returns how long the caller has kept the gateway waiting. While a request
/// arrives, the time that its bytes take at `bytes_per_second` doesn't count.
/// Precondition: `bytes_per_second` > 0. Thread safe, as are the functions
/// below.
Duration StallOf(const ConnectionActivity& activity,
                 double bytes_per_second,
                 TimePoint now);

/// Whether the connection may be closed for another one. Ordinary callers send
/// the whole request at once, so that theirs stalls for a moment only.
bool MayLosePlace(const ConnectionActivity& activity,
                  PlaceNeeded needed,
                  double bytes_per_second,
                  TimePoint now);

/// Whether `first` is closed before `second`: connections that are closing
/// anyway, then callers that stall within a request or before their first one,
/// then idle ones, each by how long they have stalled. Precondition: both may
/// lose their place.
bool LosesPlaceBefore(const ConnectionActivity& first,
                      const ConnectionActivity& second,
                      double bytes_per_second,
                      TimePoint now);

/// Returns the stable name of a phase, e.g. "reading".
std::string_view ToString(ConnectionActivity::Phase phase);

}  // namespace citronlane

#endif  // CITRONLANE_TRANSPORT_CONNECTION_ACTIVITY_H_
