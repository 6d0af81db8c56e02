#include "citronlane/routing/version_history.h"

#include <algorithm>
#include <iterator>

#include "citronlane/routing/version_sightings.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {
namespace {

/// Longer than any stream lasts with its caller's retries.
constexpr Duration kMemory = std::chrono::minutes(2);
/// Servers of a version that appear and end between two lists that are this far
/// apart are unlikely.
constexpr Duration kMaxGap = std::chrono::seconds(10);

}  // namespace

void VersionHistory::Update(absl::Span<const BackendServer> servers,
                            TimePoint read) {
  if (first_read_ && read < last_read_) {
    return;
  }
  Advance(read);
  for (auto& [service, versions] : services_) {
    for (auto& [name, version] : versions) {
      if (!version.gone_) {
        version.gone_ = read;
      }
    }
  }
  for (const BackendServer& server : servers) {
    services_[server.service_][server.version_].gone_.reset();
  }
  DropOld();
}

void VersionHistory::Confirm(TimePoint read) {
  if (first_read_ && read > last_read_) {
    Advance(read);
    DropOld();
  }
}

void VersionHistory::Advance(TimePoint read) {
  if (!first_read_ || read - last_read_ > kMaxGap) {
    first_read_ = read;
  }
  last_read_ = read;
}

void VersionHistory::SetUnusedUntil(TimePoint until) {
  if (first_read_ && *first_read_ - until <= kMaxGap) {
    unused_until_ = until;
    first_read_ = std::min(*first_read_, until);
  }
}

std::optional<VersionSightings> VersionHistory::Sightings() const {
  if (!first_read_) {
    return std::nullopt;
  }
  VersionSightings sightings;
  for (const auto& [service, versions] : services_) {
    for (const auto& [name, version] : versions) {
      sightings.versions_.push_back({service, name, version.gone_});
    }
  }
  sightings.first_read_ = *first_read_;
  sightings.last_read_ = last_read_;
  sightings.unused_until_ = unused_until_;
  return sightings;
}

void VersionHistory::Merge(const VersionSightings& other) {
  const auto own = Sightings();
  if (own && own->last_read_ - other.last_read_ > kMaxGap) {
    return;
  }
  const bool has_gap = !own || other.last_read_ - own->last_read_ > kMaxGap;
  if (!has_gap && own->first_read_ <= other.first_read_) {
    Extend(other);
    return;
  }
  services_.clear();
  for (const VersionSightings::Version& seen : other.versions_) {
    services_[seen.service_][seen.version_].gone_ = seen.gone_;
  }
  first_read_ = other.first_read_;
  last_read_ = other.last_read_;
  unused_until_ = other.unused_until_;
  if (!has_gap) {
    Extend(*own);
  }
}

// A version counts for as long as either history showed it. Lists were read at
// different times, so its end counts as the later one of those possible.
void VersionHistory::Extend(const VersionSightings& other) {
  const TimePoint last = std::max(last_read_, other.last_read_);
  if (other.last_read_ > last_read_) {
    for (auto& [service, versions] : services_) {
      for (auto& [name, version] : versions) {
        version.gone_ = version.gone_.value_or(last);
      }
    }
  }
  for (const VersionSightings::Version& seen : other.versions_) {
    const auto [version, is_new] =
        services_[seen.service_].try_emplace(seen.version_);
    std::optional<TimePoint>& gone = version->second.gone_;
    if (!seen.gone_ && other.last_read_ == last) {
      gone.reset();
    } else if (is_new || gone) {
      gone = std::max(gone.value_or(TimePoint()), seen.gone_.value_or(last));
    }
  }
  last_read_ = last;
  unused_until_ = std::max(unused_until_, other.unused_until_);
  DropOld();
}

std::optional<TimePoint> VersionHistory::last_read() const {
  return first_read_ ? std::optional(last_read_) : std::nullopt;
}

void VersionHistory::DropOld() {
  const TimePoint begin = Begin();
  for (auto service = services_.begin(); service != services_.end();) {
    Versions& versions = service->second;
    for (auto it = versions.begin(); it != versions.end();) {
      const bool is_old = it->second.gone_ && *it->second.gone_ < begin;
      it = is_old ? versions.erase(it) : std::next(it);
    }
    service = versions.empty() ? services_.erase(service) : std::next(service);
  }
}

TimePoint VersionHistory::Begin() const {
  return std::max(*first_read_, last_read_ - kMemory);
}

std::optional<std::string> VersionHistory::OnlyVersionSince(
    std::string_view service,
    TimePoint since) const {
  if (unused_until_) {
    since = std::max(since, *unused_until_);
  }
  if (!first_read_ || since < Begin()) {
    return std::nullopt;
  }
  const auto versions = services_.find(service);
  if (versions == services_.end()) {
    return std::nullopt;
  }
  std::optional<std::string> only;
  for (const auto& [name, version] : versions->second) {
    if (version.gone_ && *version.gone_ < since) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = name;
  }
  return only;
}

bool VersionHistory::IsOnlyVersionEver(std::string_view service) const {
  return unused_until_ && OnlyVersionSince(service, *unused_until_);
}

std::optional<std::string> VersionHistory::OnlyVersion(
    std::string_view service) const {
  return first_read_ ? OnlyVersionSince(service, Begin()) : std::nullopt;
}

std::optional<TimePoint> VersionHistory::OnlyVersionBegin(
    std::string_view service) const {
  const auto versions = services_.find(service);
  if (versions == services_.end()) {
    return std::nullopt;
  }
  size_t listed = 0;
  TimePoint begin = Begin();
  for (const auto& [name, version] : versions->second) {
    if (version.gone_) {
      // At the time itself the version still counts.
      begin = std::max(begin, *version.gone_ + Duration(1));
    } else {
      ++listed;
    }
  }
  return listed == 1 ? std::optional(begin) : std::nullopt;
}

Duration VersionHistory::Covered(TimePoint now) const {
  if (!first_read_ || now - last_read_ > kMaxGap) {
    return Duration();
  }
  return std::min(now - *first_read_, kMemory);
}

}  // namespace citronlane
