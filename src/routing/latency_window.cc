#include "citronlane/routing/detail/latency_window.h"

#include <algorithm>
#include <tuple>

namespace citronlane {
namespace {

constexpr unsigned kBins = 256;
constexpr double kMinLatencyUs = 50;
constexpr double kMaxLatencyUs = 600e6;

}  // namespace

LatencyWindow::Histogram LatencyWindow::MakeHistogram() {
  return Histogram(std::make_tuple(Axis(kBins, kMinLatencyUs, kMaxLatencyUs)),
                   boost::histogram::dense_storage<double>());
}

LatencyWindow::LatencyWindow(Duration window)
    : window_(window), current_(MakeHistogram()), previous_(MakeHistogram()) {}

void LatencyWindow::Rotate(TimePoint now) {
  if (now < window_end_) {
    return;
  }
  if (now < window_end_ + window_) {
    std::swap(previous_, current_);
    previous_count_ = current_count_;
  } else {
    previous_.reset();
    previous_count_ = 0;
  }
  current_.reset();
  current_count_ = 0;
  window_end_ = now + window_;
}

void LatencyWindow::Add(TimePoint now, Duration latency) {
  Rotate(now);
  const auto us = static_cast<double>(latency.count());
  current_(std::clamp(us, kMinLatencyUs, kMaxLatencyUs - 1));
  ++current_count_;
}

size_t LatencyWindow::count() const {
  return current_count_ + previous_count_;
}

std::optional<Duration> LatencyWindow::Quantile(double quantile,
                                                size_t min_samples) const {
  const size_t total = count();
  if (total == 0 || total < min_samples) {
    return std::nullopt;
  }
  const double wanted = quantile * static_cast<double>(total);
  const Axis& axis = current_.axis();
  double seen = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    const double in_bin = current_.at(bin) + previous_.at(bin);
    if (in_bin > 0 && seen + in_bin >= wanted) {
      const double part = std::clamp((wanted - seen) / in_bin, 0.0, 1.0);
      return Duration(static_cast<Duration::rep>(axis.value(bin + part)));
    }
    seen += in_bin;
  }
  return Duration(static_cast<Duration::rep>(kMaxLatencyUs));
}

}  // namespace citronlane
