#include <CLI/CLI.hpp>
#include <memory>
#include <string>

#include "citronlane/cli/admin_client.h"
#include "citronlane/cli/detail/command_context.h"
#include "citronlane/json/object_reader.h"

namespace citronlane::detail {
namespace {

// Options of one order to an engine.
struct OrderOptions {
  std::string server_;
  std::string order_id_;
  std::string kind_;
  std::string model_;
  std::string version_;
  std::string adapter_;
  std::string role_;
};

JsonValue BodyOf(const OrderOptions& options) {
  JsonValue body = JsonValue::Object();
  const auto set = [&body](const char* name, const std::string& text) {
    if (!text.empty()) {
      body.Set(name, JsonValue::String(text));
    }
  };
  set("order_id",
      options.order_id_.empty() ? NewChangeId() : options.order_id_);
  set("kind", options.kind_);
  set("model", options.model_);
  set("version", options.version_);
  set("adapter", options.adapter_);
  set("role", options.role_);
  return body;
}

void RunSubmit(const OrderOptions& options, CommandContext* context) {
  if (!IsName(options.server_)) {
    context->Fail(ExitCode::kUsage, "\"" + options.server_ +
                                        "\" is not an id of a backend server");
    return;
  }
  const JsonValue body = BodyOf(options);
  Error error;
  const std::optional<AdminReply> reply =
      AdminClient(context->admin_)
          .Post("/v1/servers/" + options.server_ + "/orders", body, &error);
  if (!reply) {
    context->Fail(ExitCode::kFailure, "not known to be committed; order id " +
                                          body.Find("order_id")->AsString() +
                                          ": " + error.message_);
    return;
  }
  context->PrintReply(*reply);
}

}  // namespace

void AddOrderCommands(CLI::App* app, CommandContext* context) {
  CLI::App* group =
      app->add_subcommand("order", "Print and give orders to engines");
  group->require_subcommand(1);
  CLI::App* list = group->add_subcommand("list", "Print the orders");
  AddAdminOptions(list, context);
  list->callback([context] { RunGet("/v1/orders", context); });

  CLI::App* submit = group->add_subcommand(
      "submit", "Let an engine load a model or adapter, or change its role");
  const auto options = std::make_shared<OrderOptions>();
  submit->add_option("SERVER-ID", options->server_, "The engine")->required();
  submit->add_option("--kind", options->kind_, "What to do")
      ->required()
      ->check(CLI::IsMember({"load_model", "load_adapter", "change_role"}));
  submit->add_option("--model", options->model_, "Model, for load_model");
  submit->add_option("--version", options->version_, "Version of it");
  submit->add_option("--adapter", options->adapter_,
                     "Adapter, for load_adapter");
  submit->add_option("--role", options->role_, "Role, for change_role");
  submit->add_option("--order-id", options->order_id_,
                     "Id of the order, to send it again (a new one)");
  AddAdminOptions(submit, context);
  submit->callback([options, context] { RunSubmit(*options, context); });
}

}  // namespace citronlane::detail
