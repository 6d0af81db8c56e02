#include "citronlane/transport/vm_list_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/timespan.h>

#include <cstdint>
#include <exception>
#include <utility>

#include "citronlane/json/fault.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"

namespace citronlane {
namespace {

constexpr unsigned kOk = 200;
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
  const size_t colon = address_.rfind(':');
  const cxxtools::Milliseconds timeout(
      std::chrono::duration<double, std::milli>(limit).count());
  try {
    // The library may send the request twice, which is harmless for a GET.
    cxxtools::http::Client client(
        address_.substr(0, colon),
        static_cast<uint16_t>(std::stoul(address_.substr(colon + 1))));
    cxxtools::http::Request request("/v1/vms");
    client.execute(request, timeout, timeout);
    client.readBody();
    if (client.header().httpReturnCode() != kOk) {
      error->message_ = "The platform replied with status " +
                        std::to_string(client.header().httpReturnCode()) + ".";
      return std::nullopt;
    }
    return Parse(client.body(), error);
  } catch (const std::exception& failure) {
    error->message_ = failure.what();
    return std::nullopt;
  }
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
