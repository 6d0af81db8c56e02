#include "citronlane/routing/stream_version.h"

#include <algorithm>

#include "citronlane/routing/only_version.h"
#include "citronlane/routing/version_history.h"

namespace citronlane {
namespace {

/// Attempts of a caller for one stream.
constexpr int kMaxAttempts = 4;
/// An older server list may lack a version that serves.
constexpr Duration kMaxListAge = std::chrono::seconds(3);

}  // namespace

std::optional<std::string> OnlyPossibleVersion(
    std::string_view service,
    Duration timeout,
    const VersionHistory& here,
    const std::optional<OnlyVersion>& elsewhere,
    TimePoint now) {
  const auto read = here.last_read();
  // A process that is out of step may take an old list for a fresh one: updates
  // wait in its connections while it stands still. It can't decide alone.
  const bool is_out_of_step = !read || now - *read > kMaxListAge ||
                              !elsewhere || elsewhere->list_age_ > kMaxListAge;
  if (is_out_of_step ||
      here.OnlyVersionSince(service, *read) != elsewhere->version_) {
    return std::nullopt;
  }
  const Duration longest = std::max(kMaxStreamAge, timeout * kMaxAttempts);
  const bool is_long_enough =
      elsewhere->is_ever_ || elsewhere->for_ >= longest ||
      here.OnlyVersionSince(service, now - longest).has_value();
  return is_long_enough ? std::optional(elsewhere->version_) : std::nullopt;
}

}  // namespace citronlane
