#include "citronlane/transport/vm_list_client.h"

#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/steady_now.h"
#include "citronlane/json/fault.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"
#include "citronlane/net/server_call_spec.h"
#include "citronlane/transport/stage_client.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {
namespace {

constexpr int kOk = 200;
/// 2^53, up to which a double represents every integer.
constexpr double kMaxIncarnation = 9007199254740992.0;

std::optional<ServerState> ParseState(const JsonValue& vm) {
  const JsonValue* state = vm.Find("state");
  const JsonValue* incarnation = vm.Find("incarnation");
  if (state == nullptr || !state->IsString()) {
    return std::nullopt;
  }
  ServerState result;
  result.leaving_ = state->AsString() == "leaving";
  if (incarnation != nullptr) {
    if (!incarnation->IsNumber() || incarnation->AsNumber() < 0 ||
        incarnation->AsNumber() > kMaxIncarnation) {
      return std::nullopt;
    }
    result.incarnation_ = static_cast<uint64_t>(incarnation->AsNumber());
  }
  return result;
}

}  // namespace

VmListClient::VmListClient(std::string address)
    : address_(std::move(address)) {}

std::optional<VmListClient::States> VmListClient::Get(Duration limit,
                                                      Error* error) const {
  StageLimits limits;
  limits.connect_timeout_ = limit;
  limits.read_timeout_ = limit;
  StageCallSpec spec = SpecFor(address_, "GET", "/v1/vms", SteadyNow() + limit);
  spec.fresh_connection_ = true;
  int status = 0;
  CallOutcome outcome = CallOutcome::kCancelled;
  std::string body;
  StageCallHooks hooks;
  hooks.sending_ = [] { return true; };
  hooks.head_ = [&status](const StageReplyHead& head) {
    status = head.status_;
    return true;
  };
  hooks.done_ = [&](CallOutcome ended, std::string got) {
    outcome = ended;
    body = std::move(got);
  };
  boost::asio::io_context io(1);
  StageClient client(&io, limits);
  client.Start(std::move(spec), std::move(hooks));
  io.run();
  if (outcome != CallOutcome::kSuccess) {
    error->message_ = "The call to the platform at " + address_ +
                      " ended with " + std::string(ToString(outcome)) + ".";
    return std::nullopt;
  }
  if (status != kOk) {
    error->message_ =
        "The platform replied with status " + std::to_string(status) + ".";
    return std::nullopt;
  }
  return Parse(body, error);
}

std::optional<VmListClient::States> VmListClient::Parse(std::string_view body,
                                                        Error* error) {
  Fault fault;
  const std::optional<JsonValue> root = ParseJson(body, &fault);
  const JsonValue* vms = root ? root->Find("vms") : nullptr;
  if (vms == nullptr || !vms->IsArray()) {
    error->message_ = "The reply has no array \"vms\".";
    return std::nullopt;
  }
  States states;
  for (const JsonValue& vm : vms->items()) {
    const JsonValue* id = vm.Find("id");
    const std::optional<ServerState> state = ParseState(vm);
    if (id == nullptr || !id->IsString() || !state) {
      error->message_ = "An entry of the VM list is invalid.";
      return std::nullopt;
    }
    states[id->AsString()] = *state;
  }
  return states;
}

}  // namespace citronlane
