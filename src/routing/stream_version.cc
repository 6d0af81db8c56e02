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
  if (!read || now - *read > kMaxListAge) {
    return std::nullopt;
  }
  const Duration longest = std::max(kMaxStreamAge, timeout * kMaxAttempts);
  if (auto seen = here.OnlyVersionSince(service, now - longest)) {
    return seen;
  }
  const bool is_long_enough =
      elsewhere && (elsewhere->is_ever_ || elsewhere->for_ >= longest);
  if (!is_long_enough || elsewhere->list_age_ > kMaxListAge ||
      here.OnlyVersionSince(service, *read) != elsewhere->version_) {
    return std::nullopt;
  }
  return elsewhere->version_;
}

}  // namespace citronlane
