#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/cli/admin_client.h"
#include "citronlane/cli/detail/command_context.h"
#include "citronlane/cli/detail/fleet_report.h"
#include "citronlane/json/object_reader.h"

namespace citronlane::detail {
namespace {

constexpr int kOk = 200;

// Short, so that the status is printed soon when some VMs do not respond.
constexpr std::chrono::milliseconds kTryTimeout(1000);

std::optional<AdminReply> GetFrom(const std::string& address,
                                  const std::string& path,
                                  AdminOptions options,
                                  Error* error) {
  options.addresses_ = {address};
  options.timeout_ = std::min(options.timeout_, kTryTimeout);
  std::optional<AdminReply> reply =
      AdminClient(std::move(options)).Get(path, error);
  if (reply && reply->status_ != kOk) {
    error->message_ =
        address + " responded with status " + std::to_string(reply->status_);
    return std::nullopt;
  }
  return reply;
}

JsonValue ErrorItem(const std::string& address, const Error& error) {
  JsonValue item = JsonValue::Object();
  item.Set("address", JsonValue::String(address));
  item.Set("error", JsonValue::String(error.message_));
  return item;
}

// Adds the status of every control VM; returns whether one responded.
bool AddControlVms(const CommandContext& context, JsonValue* status) {
  JsonValue nodes = JsonValue::Array();
  bool any = false;
  for (const std::string& address : context.admin_.addresses_) {
    Error error;
    const std::optional<AdminReply> reply =
        GetFrom(address, "/v1/status", context.admin_, &error);
    any = any || reply.has_value();
    nodes.Append(reply ? reply->body_ : ErrorItem(address, error));
  }
  status->Set("control", std::move(nodes));
  return any;
}

// Adds up the metrics of the gateways. They are read over plain HTTP, so the
// operator's key must not be sent.
void AddGateways(const std::vector<std::string>& gateways, JsonValue* status) {
  FleetReport report;
  JsonValue unreachable = JsonValue::Array();
  for (const std::string& address : gateways) {
    Error error;
    const std::optional<AdminReply> reply =
        GetFrom(address, "/metrics", AdminOptions(), &error);
    if (reply) {
      report.Add(reply->text_);
    } else {
      unreachable.Append(ErrorItem(address, error));
    }
  }
  const JsonValue sums = report.ToJson();
  for (const auto& [name, table] : sums.members()) {
    status->Set(name, table);
  }
  status->Set("unreachable_gateways", std::move(unreachable));
}

void RunStatus(const std::vector<std::string>& gateways,
               CommandContext* context) {
  JsonValue status = JsonValue::Object();
  const bool any = AddControlVms(*context, &status);
  if (!gateways.empty()) {
    AddGateways(gateways, &status);
  }
  context->Print(status);
  if (!any) {
    context->Fail(ExitCode::kFailure, "no control VM answered");
  }
}

// Adds the name and the description of the reason's number.
void AddReasonText(JsonValue* record) {
  const JsonValue* number = record->Find("reason");
  if (number == nullptr || !number->IsNumber()) {
    return;
  }
  const auto reason = static_cast<RefusalReason>(number->AsNumber());
  record->Set("name", JsonValue::String(ToString(reason)));
  record->Set("meaning", JsonValue::String(Describe(reason)));
}

void RunExplain(const std::string& id, CommandContext* context) {
  if (!IsName(id)) {
    context->Fail(ExitCode::kUsage, "\"" + id + "\" is not a refusal id");
    return;
  }
  Error error;
  std::optional<AdminReply> reply =
      AdminClient(context->admin_).Get("/v1/refusals/" + id, &error);
  if (!reply) {
    context->Fail(ExitCode::kFailure, error.message_);
    return;
  }
  if (reply->status_ == kOk) {
    AddReasonText(&reply->body_);
  }
  context->PrintReply(*reply);
}

}  // namespace

void AddStatusCommands(CLI::App* app, CommandContext* context) {
  CLI::App* status = app->add_subcommand(
      "status", "Print the state of the control VMs and the fleet");
  const auto gateways = std::make_shared<std::vector<std::string>>();
  status
      ->add_option("--gateways", *gateways,
                   "Gateways whose attainment, cost by stage and refusals are "
                   "added up")
      ->delimiter(',')
      ->check(EndpointValidator());
  AddAdminOptions(status, context);
  status->callback([gateways, context] { RunStatus(*gateways, context); });

  CLI::App* explain = app->add_subcommand(
      "explain", "Print why a request was refused, with its figures");
  const auto id = std::make_shared<std::string>();
  explain->add_option("REFUSAL-ID", *id, "Id from the refusal's response")
      ->required();
  AddAdminOptions(explain, context);
  explain->callback([id, context] { RunExplain(*id, context); });

  CLI::App* version =
      app->add_subcommand("version", "Print the program's version");
  AddJsonOption(version, context);
  version->callback([context] {
    JsonValue value = JsonValue::Object();
    value.Set("version", JsonValue::String(CITRONLANE_VERSION));
    context->Print(value);
  });
}

}  // namespace citronlane::detail
