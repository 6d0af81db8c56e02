#include "citronlane/control/detail/vm_list_poller.h"

#include <optional>
#include <utility>

namespace citronlane {
namespace {

constexpr Duration kReplyTimeout = std::chrono::seconds(1);
constexpr Duration kCommitTimeout = std::chrono::seconds(2);

}  // namespace

VmListPoller::VmListPoller(const std::string& address,
                           Duration interval,
                           ControlState* state,
                           CommandProposer* proposer,
                           LogHook log)
    : enabled_(!address.empty()),
      client_(address),
      interval_(interval),
      state_(state),
      proposer_(proposer),
      log_(std::move(log)) {}

VmListPoller::~VmListPoller() {
  Stop();
}

void VmListPoller::Start() {
  if (enabled_) {
    thread_.Start([this] { Run(); });
  }
}

void VmListPoller::Stop() {
  thread_.Stop();
}

void VmListPoller::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!thread_.is_stopping()) {
    lock.unlock();
    if (proposer_->leads()) {
      Poll();
    }
    lock.lock();
    wake_.wait_for(lock, interval_, [this] { return thread_.is_stopping(); });
  }
}

void VmListPoller::Poll() {
  Error error;
  const std::optional<VmListClient::States> listed =
      client_.Get(kReplyTimeout, &error);
  LogFailureOnce(listed ? std::string() : error.message_);
  if (listed) {
    Propose(*listed);
  }
}

// Proposes only what the list changes, so that an unchanged list costs no
// commit.
void VmListPoller::Propose(const VmListClient::States& listed) {
  wire::StateCommand command;
  state_->View([&](const StateMachine& state) {
    const auto& known = state.servers().states();
    for (const auto& [server, now] : listed) {
      const auto found = known.find(server);
      if (found != known.end() &&
          ServerStates::Combine(found->second, now) == found->second) {
        continue;
      }
      wire::ServerRecord* record = command.mutable_servers()->add_servers();
      record->set_server(server);
      record->set_incarnation(now.incarnation_);
      record->set_leaving(now.leaving_);
    }
  });
  if (command.has_servers()) {
    // Waits, so that the next list is compared with the result of this one.
    Error error;
    proposer_->ProposeAndWait(std::move(command), kCommitTimeout, &error);
  }
}

void VmListPoller::LogFailureOnce(const std::string& failure) {
  if (failure != failure_) {
    failure_ = failure;
    log_(failure.empty()
             ? "The platform's VM list can be read again."
             : "The platform's VM list can not be read: " + failure);
  }
}

}  // namespace citronlane
