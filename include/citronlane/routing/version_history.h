#ifndef CITRONLANE_ROUTING_VERSION_HISTORY_H_
#define CITRONLANE_ROUTING_VERSION_HISTORY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "citronlane/base/time.h"

namespace citronlane {

struct BackendServer;
struct VersionSightings;

/// Remembers which software versions of each service the server lists have
/// shown in the last 2 minutes. Servers count however short they were listed,
/// leaving ones too. Times are those at which lists were read; a list counts
/// until the next one was read. A version that is "" counts like any other.
/// Pure: no I/O, no clock. Not thread safe.
class VersionHistory {
 public:
  /// Takes a list that was read at `read`. Ignored when an earlier one was read
  /// later. After more than 10 s without a list the covered time begins anew,
  /// since versions may have come and gone.
  void Update(absl::Span<const BackendServer> servers, TimePoint read);
  /// The last list was read again at `read` and is unchanged. Does nothing
  /// before the first list.
  void Confirm(TimePoint read);
  /// No server had been used by `until`: what ran before does not matter, and
  /// the time since then counts as covered. Does nothing if the first list of
  /// the covered time was read more than 10 s later, or before any list.
  void SetUnusedUntil(TimePoint until);

  /// Everything remembered; nothing before the first list.
  std::optional<VersionSightings> Sightings() const;
  /// Takes what another process remembers. The history that covers more time is
  /// kept, and the other one adds to it what its later lists showed; a history
  /// that ended more than 10 s before the other one is dropped.
  void Merge(const VersionSightings& other);

  /// The version if the lists cover the whole time since `since`, or since
  /// servers were first used, and showed exactly one version of the service in
  /// it. The present list must not be older than the caller tolerates; see
  /// Covered().
  std::optional<std::string> OnlyVersionSince(std::string_view service,
                                              TimePoint since) const;
  /// Whether the lists cover all the time in which servers have been used, and
  /// showed only one version of the service in it.
  bool IsOnlyVersionEver(std::string_view service) const;
  /// The same for the whole time covered, 2 minutes at most.
  std::optional<std::string> OnlyVersion(std::string_view service) const;
  /// The earliest time since which there is an OnlyVersionSince(); nothing when
  /// the last list shows several versions of the service or none.
  std::optional<TimePoint> OnlyVersionBegin(std::string_view service) const;
  /// How long before `now` lists cover the time without a gap, at most 2
  /// minutes; 0 when the last list is more than 10 s old or there is none.
  Duration Covered(TimePoint now) const;
  /// When the last list was read; nothing before the first one.
  std::optional<TimePoint> last_read() const;

 private:
  struct Version {
    /// When the first list without it was read; nothing while it is listed.
    std::optional<TimePoint> gone_;
  };
  using Versions = std::map<std::string, Version, std::less<>>;

  /// Begins the covered time anew if there was no list for too long.
  void Advance(TimePoint read);
  void DropOld();
  /// Adds what the other history's lists showed to this one, which begins
  /// earlier.
  void Extend(const VersionSightings& other);
  /// The begin of the covered time, as far as versions are remembered. There
  /// must be a list.
  TimePoint Begin() const;

  std::map<std::string, Versions, std::less<>> services_;
  /// When the first and the last list of the covered time were read.
  std::optional<TimePoint> first_read_;
  TimePoint last_read_;
  /// No server had been used by then; nothing if that is not known.
  std::optional<TimePoint> unused_until_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_VERSION_HISTORY_H_
