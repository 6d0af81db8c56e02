#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/cli/admin_client.h"
#include "citronlane/cli/detail/command_context.h"
#include "citronlane/json/object_reader.h"

namespace citronlane::detail {
namespace {

constexpr int kOk = 200;

void RunStatus(CommandContext* context) {
  Error error;
  const std::optional<AdminReply> reply =
      AdminClient(context->admin_).Get("/v1/status", &error);
  if (reply) {
    context->PrintReply(*reply);
  } else {
    context->Fail(ExitCode::kFailure, error.message_);
  }
}

// Adds what the reason's number means, unless control says so already.
void Explain(JsonValue* record) {
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
    context->Fail(ExitCode::kUsage, "this is no refusal id");
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
    Explain(&reply->body_);
  }
  context->PrintReply(*reply);
}

}  // namespace

void AddStatusCommands(CLI::App* app, CommandContext* context) {
  CLI::App* status = app->add_subcommand(
      "status", "Print the state of the control VMs and the fleet");
  AddAdminOptions(status, context);
  status->callback([context] { RunStatus(context); });

  CLI::App* explain = app->add_subcommand(
      "explain", "Print why a request was refused, with its figures");
  const auto id = std::make_shared<std::string>();
  explain->add_option("REFUSAL-ID", *id, "Id from the refusal's answer")
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
