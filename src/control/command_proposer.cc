#include "citronlane/control/detail/command_proposer.h"

#include <future>
#include <memory>
#include <utility>

#include "citronlane/base/steady_now.h"

namespace citronlane {

CommandProposer::CommandProposer(ProposeHook propose)
    : propose_(std::move(propose)) {}

void CommandProposer::OnLeadershipGained(uint64_t time_ms, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  leads_ = true;
  base_ms_ = time_ms;
  since_ = now;
}

void CommandProposer::OnLeadershipLost() {
  const std::lock_guard<std::mutex> lock(mutex_);
  leads_ = false;
}

bool CommandProposer::leads() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return leads_;
}

std::optional<uint64_t> CommandProposer::TimeMs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!leads_) {
    return std::nullopt;
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyNow() - since_);
  return base_ms_ + static_cast<uint64_t>(elapsed.count());
}

void CommandProposer::Propose(wire::StateCommand command, Done done) {
  const std::optional<uint64_t> time_ms = TimeMs();
  if (!time_ms) {
    done(std::nullopt, Error{"This node does not lead."});
    return;
  }
  command.set_time_ms(*time_ms);
  ProposeFirst(command, std::move(done));
}

void CommandProposer::ProposeFirst(const wire::StateCommand& command,
                                   Done done) {
  propose_(command.SerializeAsString(),
           [done = std::move(done)](const std::optional<std::string>& bytes,
                                    const Error& error) {
             wire::StateResult result;
             if (!bytes) {
               done(std::nullopt, error);
             } else if (!result.ParseFromString(*bytes)) {
               done(std::nullopt, Error{"The result can not be parsed."});
             } else {
               done(std::move(result), Error());
             }
           });
}

std::optional<wire::StateResult> CommandProposer::ProposeAndWait(
    wire::StateCommand command,
    Duration limit,
    Error* error) {
  struct Answer {
    std::optional<wire::StateResult> result_;
    Error error_;
  };
  const auto promise = std::make_shared<std::promise<Answer>>();
  std::future<Answer> future = promise->get_future();
  Propose(std::move(command), [promise](std::optional<wire::StateResult> result,
                                        const Error& reason) {
    promise->set_value({std::move(result), reason});
  });
  if (future.wait_for(limit) != std::future_status::ready) {
    error->message_ = "No quorum committed the command in time.";
    return std::nullopt;
  }
  Answer answer = future.get();
  *error = answer.error_;
  return std::move(answer.result_);
}

}  // namespace citronlane
