#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/cli/admin_client.h"
#include "citronlane/cli/detail/command_context.h"
#include "citronlane/json/object_reader.h"

namespace citronlane::detail {
namespace {

// Options of the commands that change the set of control VMs.
struct MemberOptions {
  uint64_t id_ = 0;
  std::string replication_;
  std::string control_;
  std::string admin_;
};

void PrintResult(const std::optional<AdminReply>& reply,
                 const Error& error,
                 CommandContext* context) {
  if (reply) {
    context->PrintReply(*reply);
  } else {
    context->Fail(ExitCode::kFailure, error.message_);
  }
}

void RunAction(const std::string& action,
               const MemberOptions& options,
               CommandContext* context) {
  JsonValue body = JsonValue::Object();
  body.Set("action", JsonValue::String(action));
  body.Set("id", JsonValue::Number(static_cast<double>(options.id_)));
  if (action == "add") {
    body.Set("replication", JsonValue::String(options.replication_));
    body.Set("control", JsonValue::String(options.control_));
    body.Set("admin", JsonValue::String(options.admin_));
  }
  Error error;
  PrintResult(AdminClient(context->admin_).Post("/v1/members", body, &error),
              error, context);
}

void RunDrain(const std::string& server, CommandContext* context) {
  if (!IsName(server)) {
    context->Fail(ExitCode::kUsage,
                  "\"" + server + "\" is not an id of a backend server");
    return;
  }
  Error error;
  PrintResult(AdminClient(context->admin_)
                  .Post("/v1/servers/" + server + "/drain", JsonValue::Object(),
                        &error),
              error, context);
}

CLI::App* AddAction(CLI::App* group,
                    const std::string& action,
                    const std::string& help,
                    const std::shared_ptr<MemberOptions>& options,
                    CommandContext* context) {
  CLI::App* command = group->add_subcommand(action, help);
  command->add_option("ID", options->id_, "Id of the control VM")->required();
  AddAdminOptions(command, context);
  command->callback(
      [action, options, context] { RunAction(action, *options, context); });
  return command;
}

void AddAdd(CLI::App* group, CommandContext* context) {
  const auto options = std::make_shared<MemberOptions>();
  CLI::App* command = AddAction(
      group, "add", "Add a new control VM as a learner", options, context);
  command->add_option("--replication", options->replication_, "Its address")
      ->required()
      ->check(EndpointValidator());
  command->add_option("--control", options->control_, "Its address")
      ->required()
      ->check(EndpointValidator());
  command->add_option("--admin-address", options->admin_, "Its address")
      ->required()
      ->check(EndpointValidator());
}

}  // namespace

void AddMemberCommands(CLI::App* app, CommandContext* context) {
  CLI::App* group =
      app->add_subcommand("member", "Print and change the control VMs");
  group->require_subcommand(1);
  CLI::App* list = group->add_subcommand("list", "Print the control VMs");
  AddAdminOptions(list, context);
  list->callback([context] { RunGet("/v1/members", context); });
  AddAdd(group, context);
  AddAction(group, "promote", "Make a learner that has caught up a voter",
            std::make_shared<MemberOptions>(), context);
  AddAction(group, "remove", "Remove a control VM permanently",
            std::make_shared<MemberOptions>(), context);

  CLI::App* drain = app->add_subcommand(
      "drain", "Give a backend server no new work from now on");
  const auto server = std::make_shared<std::string>();
  drain->add_option("SERVER-ID", *server, "Its id in the configuration")
      ->required();
  AddAdminOptions(drain, context);
  drain->callback([server, context] { RunDrain(*server, context); });
}

}  // namespace citronlane::detail
