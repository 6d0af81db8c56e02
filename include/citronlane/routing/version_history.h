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

  /// The version if the lists cover the whole time since `since` and showed
  /// exactly one version of the service in it. The present list must not be
  /// older than the caller tolerates; see Covered().
  std::optional<std::string> OnlyVersionSince(std::string_view service,
                                              TimePoint since) const;
  /// The same for the whole time covered, 2 minutes at most.
  std::optional<std::string> OnlyVersion(std::string_view service) const;
  /// The earliest time since which there is an OnlyVersionSince(); nothing when
  /// the last list shows several versions of the service or none.
  std::optional<TimePoint> OnlyVersionBegin(std::string_view service) const;
  /// How long before `now` lists cover the time without a gap, at most 2
  /// minutes; 0 when the last list is more than 10 s old or there is none.
  Duration Covered(TimePoint now) const;

 private:
  struct Version {
    /// When the first list without it was read; nothing while it is listed.
    std::optional<TimePoint> gone_;
  };
  using Versions = std::map<std::string, Version, std::less<>>;

  /// Begins the covered time anew if there was no list for too long.
  void Advance(TimePoint read);
  void DropOld();
  /// The begin of the covered time, as far as versions are remembered. There
  /// must be a list.
  TimePoint Begin() const;

  std::map<std::string, Versions, std::less<>> services_;
  /// When the first and the last list of the covered time were read.
  std::optional<TimePoint> first_read_;
  TimePoint last_read_;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_VERSION_HISTORY_H_
