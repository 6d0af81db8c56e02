#include <catch2/catch.hpp>

#include <csignal>

#include <boost/asio/io_context.hpp>

#include "citronlane/net/process_signals.h"

namespace citronlane {
namespace {

constexpr int kReloadSignals = 1000;
/// Most event loop handlers that may run before the stop hook is called.
constexpr int kMaxHandlers = 16;

/// Returns whether the kernel still keeps the signal: nothing was run for it.
bool IsPending(int signal) {
  sigset_t pending;
  sigpending(&pending);
  return sigismember(&pending, signal) == 1;
}

}  // namespace

// Guards against handling reload signals one by one: a process that got many of
// them was then not stopped in time.
TEST_CASE("a stop signal does not wait for reload signals") {
  ProcessSignals::Block();
  boost::asio::io_context io;
  int stops = 0;
  int reloads = 0;
  const ProcessSignals signals(
      &io, ProcessSignals::Hooks{[&] { ++stops; }, [&] { ++reloads; }});
  for (int i = 0; i < kReloadSignals; ++i) {
    std::raise(SIGHUP);
  }
  std::raise(SIGTERM);
  for (int i = 0; i < kMaxHandlers && stops == 0; ++i) {
    io.poll_one();
  }
  CHECK(stops == 1);
  CHECK(reloads <= 1);

  SECTION("and nothing is reloaded or stopped again after it") {
    const int before = reloads;
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    io.poll();
    CHECK(stops == 1);
    CHECK(reloads == before);
  }
  SECTION("and those after it take no time of the event loop") {
    std::raise(SIGHUP);
    io.poll();
    CHECK(IsPending(SIGHUP));
  }
}

TEST_CASE("one reload covers all reload signals before it") {
  ProcessSignals::Block();
  boost::asio::io_context io;
  int reloads = 0;
  const ProcessSignals signals(
      &io, ProcessSignals::Hooks{[] {}, [&] { ++reloads; }});
  for (int i = 0; i < kReloadSignals; ++i) {
    std::raise(SIGHUP);
  }
  for (int i = 0; i < kMaxHandlers && reloads == 0; ++i) {
    io.poll_one();
  }
  CHECK(reloads == 1);
  CHECK_FALSE(IsPending(SIGHUP));
}

}  // namespace citronlane
