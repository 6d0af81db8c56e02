#include "citronlane/routing/detail/outlier_detector.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace citronlane {
namespace {

constexpr int kConsecutiveFailures = 3;
constexpr size_t kMinOutcomes = 5;
constexpr double kFailureShare = 0.5;
/// A server is no outlier when the median of its peers fails this much.
constexpr double kPeersFailing = 0.25;
constexpr double kSlowMultiple = 4;
constexpr size_t kMinSlowSamples = 4;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr int kMostDoublings = 5;

double Median(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double MedianFailureShare(TimePoint now,
                          absl::Span<const ServerState> servers) {
  std::vector<double> shares;
  shares.reserve(servers.size());
  for (const ServerState& server : servers) {
    shares.push_back(server.FailureShare(now));
  }
  return Median(std::move(shares));
}

bool FailsAlone(const ServerState& server,
                TimePoint now,
                double peers_failure_share) {
  if (peers_failure_share >= kPeersFailing) {
    return false;
  }
  return server.consecutive_failures() >= kConsecutiveFailures ||
         (server.outcomes() >= kMinOutcomes &&
          server.FailureShare(now) >= kFailureShare);
}

bool IsSlowAlone(const ServerState& server, TimePoint now, double median) {
  const bool known = server.slow_samples() >= kMinSlowSamples ||
                     server.Overdue(now) >= 2 * kSlowMultiple * median;
  return known && server.SlowFactor(now) >= kSlowMultiple * median;
}

TimePoint EjectionEnd(const ServerState& server, TimePoint now) {
  const int doublings = std::min(server.ejections(), kMostDoublings);
  return now + kFirstEjection * (1 << doublings);
}

}  // namespace

OutlierDetector::OutlierDetector(double max_ejected)
    : max_ejected_(max_ejected) {}

double OutlierDetector::MedianSlow(TimePoint now,
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
  const double median_slow = MedianSlow(now, servers);
  const double median_failures = MedianFailureShare(now, servers);
  size_t ejected = 0;
  std::vector<std::pair<double, ServerState*>> outliers;
  for (ServerState& server : servers) {
    if (server.IsEjected(now)) {
      ++ejected;
    } else if (FailsAlone(server, now, median_failures) ||
               IsSlowAlone(server, now, median_slow)) {
      const double badness =
          server.SlowFactor(now) / median_slow + server.FailureShare(now);
      outliers.emplace_back(badness, &server);
    }
  }
  const auto allowed =
      static_cast<size_t>(max_ejected_ * static_cast<double>(servers.size()));
  std::sort(outliers.begin(), outliers.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  bool any = false;
  for (const auto& [badness, server] : outliers) {
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
