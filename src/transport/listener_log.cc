#include "citronlane/transport/listener_log.h"

#include <chrono>
#include <utility>

namespace citronlane {
namespace {

constexpr Duration kLineInterval = std::chrono::seconds(1);

}  // namespace

ListenerLog::ListenerLog(std::string listener, Hooks hooks)
    : listener_(std::move(listener)), hooks_(std::move(hooks)) {}

void ListenerLog::OnRefused(RefusalReason reason) {
  Write("request not read: reason=" + std::string(ToString(reason)));
}

void ListenerLog::OnPlaceLost(std::string_view phase, Duration stall) {
  Write("connection closed for another: phase=" + std::string(phase) +
        " stall_us=" + std::to_string(stall.count()));
}

void ListenerLog::Write(const std::string& text) {
  const TimePoint now = hooks_.now_();
  TimePoint next = next_line_;
  if (now < next ||
      !next_line_.compare_exchange_strong(next, now + kLineInterval)) {
    ++left_out_;
    return;
  }
  hooks_.write_(text + " listener=" + listener_ +
                " left_out=" + std::to_string(left_out_.exchange(0)));
}

}  // namespace citronlane
