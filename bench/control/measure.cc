#include "control/measure.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace citronlane::bench {
namespace {

constexpr std::chrono::seconds kDeadline(60);

}  // namespace

void Die(const std::string& reason) {
  std::fprintf(stderr, "bench: %s\n", reason.c_str());
  std::exit(1);
}

double Seconds(Clock::duration time) {
  return std::chrono::duration<double>(time).count();
}

double OwnCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicros = 1e6;
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / kMicros;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void WaitFor(const char* what, const std::function<bool()>& holds) {
  const auto end = Clock::now() + kDeadline;
  while (!holds()) {
    if (Clock::now() > end) {
      Die(std::string("gave up waiting for ") + what);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(fraction *
                                    static_cast<double>(values.size() - 1))];
}

std::string FreeAddress() {
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    Die("no free port");
  }
  getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
  close(handle);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace citronlane::bench
