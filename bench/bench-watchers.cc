// Stand-ins of gateways that watch the configuration of running control VMs.
// Usage: bench-watchers COUNT ENDPOINT...; prints one line for each update
// until SIGTERM: version, number of the watcher, steady clock in nanoseconds,
// bytes of the update.

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/net/repeating_timer.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/control_watch.h"
#include "fleet.pb.h"

namespace citronlane::bench {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);

/// Confirms each update without reconstructing the document, so that hundreds
/// of watchers can share one processor.
class Watcher {
 public:
  Watcher(boost::asio::io_context* io,
          int number,
          std::vector<std::string> control,
          EventLog* log)
      : number_(number),
        watch_(io,
               ControlWatch::Options{"127.0.0.1:" + std::to_string(number + 1),
                                     "a", std::move(control)},
               log,
               HooksOf()) {}

  void Tick(TimePoint now) { watch_.Tick(now); }

 private:
  ControlWatch::Hooks HooksOf() {
    ControlWatch::Hooks hooks;
    hooks.updated_ = [this](wire::fleet::WatchUpdate* update) {
      if (update->has_config()) {
        Take(update->config());
      }
    };
    hooks.config_version_ = [this] { return version_; };
    hooks.knows_gateways_ = [] { return true; };
    hooks.add_owners_ = [](wire::fleet::WatchRequest*) {};
    return hooks;
  }

  void Take(const wire::fleet::ConfigUpdate& update) {
    version_ = update.version();
    const auto now = SteadyNow().time_since_epoch();
    std::printf(
        "%llu %d %lld %zu\n", static_cast<unsigned long long>(*version_),
        number_,
        static_cast<long long>(
            std::chrono::duration_cast<std::chrono::nanoseconds>(now).count()),
        update.data().size());
  }

  const int number_;
  std::optional<uint64_t> version_;
  ControlWatch watch_;
};

int Run(int count, const std::vector<std::string>& control) {
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  EventLog log("watchers", {[](std::string_view) { return true; }, SteadyNow,
                            [] { return int64_t{0}; }});
  std::vector<std::unique_ptr<Watcher>> watchers;
  watchers.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    watchers.push_back(std::make_unique<Watcher>(&io, i, control, &log));
  }
  const RepeatingTimer tick(&io, kTick, [&watchers](TimePoint now) {
    for (const auto& watcher : watchers) {
      watcher->Tick(now);
    }
  });
  io.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace citronlane::bench

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: bench-watchers COUNT ENDPOINT...\n");
    return EXIT_FAILURE;
  }
  return citronlane::bench::Run(
      std::atoi(argv[1]), std::vector<std::string>(argv + 2, argv + argc));
}
