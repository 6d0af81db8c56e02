#include "control/watchers.h"

#include <algorithm>
#include <chrono>

#include "citronlane/config/cluster_config.h"

namespace citronlane::bench {
namespace {

uint64_t NextIncarnation() {
  static std::atomic<uint64_t> last{0};
  return ++last;
}

}  // namespace

Watchers::Watchers(const std::vector<std::string>& addresses, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    auto watcher = std::make_unique<Watcher>();
    ControlClientOptions options;
    options.gateway_ = "w" + std::to_string(i);
    options.incarnation_ = NextIncarnation();
    options.addresses_ = addresses;
    ControlClientHooks hooks;
    hooks.on_config_ = [seen = watcher.get()](const auto& config) {
      seen->version_ = config->version_;
    };
    hooks.on_lease_ = [seen = watcher.get()](TimePoint until) {
      seen->lease_ = until;
    };
    watcher->client_ = std::make_unique<ControlClient>(options, hooks);
    watcher->client_->Start();
    watchers_.push_back(std::move(watcher));
  }
}

bool Watchers::AllHave(uint64_t version) const {
  return Lapsed() == 0 &&
         std::all_of(watchers_.begin(), watchers_.end(),
                     [version](const std::unique_ptr<Watcher>& watcher) {
                       return watcher->version_ >= version;
                     });
}

size_t Watchers::Lapsed() const {
  const auto now = std::chrono::steady_clock::now();
  return static_cast<size_t>(
      std::count_if(watchers_.begin(), watchers_.end(),
                    [now](const std::unique_ptr<Watcher>& watcher) {
                      return watcher->lease_.load() <= now;
                    }));
}

}  // namespace citronlane::bench
