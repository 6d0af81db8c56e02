#include "support/eventually.h"

#include <chrono>
#include <thread>

namespace citronlane {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kLimit(20);
constexpr std::chrono::milliseconds kPause(2);

}  // namespace

bool Eventually(const std::function<bool()>& condition) {
  const auto end = Clock::now() + kLimit;
  while (!condition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

}  // namespace citronlane
