#include "citronlane/routing/detail/outlier_detector.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace citronlane {
namespace {

constexpr int kMinConsecutiveFailures = 3;
constexpr size_t kMinOutcomes = 5;
constexpr double kMinFailureRatio = 0.5;
/// From this median failure ratio of the pool on, failing servers are not
/// outliers.
constexpr double kMaxPeerFailureRatio = 0.25;
/// Slow factor, relative to the pool's median, from which a server is an
/// outlier.
constexpr double kSlowOutlierToMedianRatio = 4;
constexpr size_t kMinSlowSamples = 4;
constexpr Duration kInitialEjection = std::chrono::seconds(2);
constexpr int kMaxEjectionDoublings = 5;

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double MedianFailureRatio(TimePoint now,
                          absl::Span<const ServerState> servers) {
  std::vector<double> shares;
  shares.reserve(servers.size());
  for (const ServerState& server : servers) {
    shares.push_back(server.FailureRatio(now));
  }
  return Median(std::move(shares));
}

bool IsFailureOutlier(const ServerState& server,
                      TimePoint now,
                      double peer_failure_ratio) {
  if (peer_failure_ratio >= kMaxPeerFailureRatio) {
    return false;
  }
  return server.consecutive_failures() >= kMinConsecutiveFailures ||
         (server.outcomes() >= kMinOutcomes &&
          server.FailureRatio(now) >= kMinFailureRatio);
}

bool IsSlowOutlier(const ServerState& server, TimePoint now, double median) {
  const bool known =
      server.slow_samples() >= kMinSlowSamples ||
      server.OverdueRatio(now) >= 2 * kSlowOutlierToMedianRatio * median;
  return known && server.SlowFactor(now) >= kSlowOutlierToMedianRatio * median;
}

TimePoint EjectionEnd(const ServerState& server, TimePoint now) {
  const int doublings = std::min(server.ejections(), kMaxEjectionDoublings);
  return now + kInitialEjection * (1 << doublings);
}

}  // namespace

OutlierDetector::OutlierDetector(double max_ejected_fraction)
    : max_ejected_fraction_(max_ejected_fraction) {}

double OutlierDetector::MedianSlowFactor(
    TimePoint now,
    absl::Span<const ServerState> servers) {
  std::vector<double> factors;
  factors.reserve(servers.size());
  for (const ServerState& server : servers) {
    factors.push_back(server.SlowFactor(now));
  }
  return factors.empty() ? 1 : Median(std::move(factors));
}

bool OutlierDetector::Eject(TimePoint now,
                            absl::Span<ServerState> servers) const {
  const double median_slow = MedianSlowFactor(now, servers);
  const double median_failures = MedianFailureRatio(now, servers);
  size_t ejected = 0;
  std::vector<std::pair<double, ServerState*>> outliers;
  for (ServerState& server : servers) {
    if (server.IsEjected(now)) {
      ++ejected;
    } else if (IsFailureOutlier(server, now, median_failures) ||
               IsSlowOutlier(server, now, median_slow)) {
      const double severity =
          server.SlowFactor(now) / median_slow + server.FailureRatio(now);
      outliers.emplace_back(severity, &server);
    }
  }
  const auto allowed = static_cast<size_t>(max_ejected_fraction_ *
                                           static_cast<double>(servers.size()));
  std::sort(outliers.begin(), outliers.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  bool any = false;
  for (const auto& [severity, server] : outliers) {
    if (ejected >= allowed) {
      break;
    }
    server->Eject(EjectionEnd(*server, now));
    ++ejected;
    any = true;
  }
  return any;
}

}  // namespace citronlane
