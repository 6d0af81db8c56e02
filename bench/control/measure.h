#ifndef BENCH_CONTROL_MEASURE_H_
#define BENCH_CONTROL_MEASURE_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace citronlane::bench {

using Clock = std::chrono::steady_clock;

/// Prints the reason and ends the process. Thread safe, as all of these.
[[noreturn]] void Die(const std::string& reason);

double Seconds(Clock::duration time);

/// Processor time of this process so far, in seconds.
double OwnCpuSeconds();

/// Waits until the condition holds; gives up after a minute.
void WaitFor(const char* what, const std::function<bool()>& holds);

/// Returns the value below which a share (0 to 1) of them lies; 0 for none.
double Quantile(std::vector<double> values, double share);

/// Returns a loopback "IP:port" that is free now.
std::string FreeAddress();

}  // namespace citronlane::bench

#endif  // BENCH_CONTROL_MEASURE_H_
