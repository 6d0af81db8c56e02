#ifndef BENCH_CONTROL_MEASURE_H_
#define BENCH_CONTROL_MEASURE_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace citronlane::bench {

using Clock = std::chrono::steady_clock;

/// Prints the reason and ends the process. All functions of this header are
/// thread safe.
[[noreturn]] void Die(const std::string& reason);

double Seconds(Clock::duration time);

/// Returns the processor time of this process so far, in seconds.
double OwnCpuSeconds();

/// Waits until the condition holds; ends the process after a minute.
void WaitFor(const char* what, const std::function<bool()>& holds);

/// Returns the quantile `fraction` (0 to 1) of the values; 0 for no values.
double Quantile(std::vector<double> values, double fraction);

/// Returns a loopback "IP:port" without a listener.
std::string FreeAddress();

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_MEASURE_H_
