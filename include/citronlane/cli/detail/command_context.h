#ifndef CITRONLANE_CLI_DETAIL_COMMAND_CONTEXT_H_
#define CITRONLANE_CLI_DETAIL_COMMAND_CONTEXT_H_

#include <CLI/CLI.hpp>
#include <iosfwd>
#include <string>
#include <string_view>

#include "citronlane/cli/admin_options.h"
#include "citronlane/cli/run.h"
#include "citronlane/json/value.h"

namespace citronlane {
struct AdminReply;
}  // namespace citronlane

namespace citronlane::detail {

/// What all commands share. The streams must outlive it.
struct CommandContext {
  CommandContext(std::ostream& out, std::ostream& err) : out_(out), err_(err) {}

  std::ostream& out_;
  std::ostream& err_;
  /// Print JSON in place of text.
  bool json_ = false;
  AdminOptions admin_;
  /// Set by the command that ran.
  ExitCode exit_code_ = ExitCode::kSuccess;

  /// Prints "error: <message>" and sets the exit code.
  void Fail(ExitCode code, std::string_view message);
  /// Prints a value: compact JSON, or indented "name: value" lines.
  void Print(const JsonValue& value);
  /// Prints a reply's body; a status of 400 and more is a failure.
  void PrintReply(const AdminReply& reply);
};

/// Returns a random id, so that a change may be sent again under it.
std::string NewChangeId();
/// Prints what the administration API answers to a GET.
void RunGet(const std::string& path, CommandContext* context);
/// Accepts "IP:port".
CLI::Validator EndpointValidator();
/// Adds --json.
void AddJsonOption(CLI::App* command, CommandContext* context);
/// Adds --admin, --key-file, --ca-file, --timeout and --json.
void AddAdminOptions(CLI::App* command, CommandContext* context);

/// Each adds its commands to `app`; their callbacks use `context`, which must
/// outlive the parse.
void AddProcessCommands(CLI::App* app, CommandContext* context);
void AddCheckCommand(CLI::App* app, CommandContext* context);
void AddConfigCommands(CLI::App* app, CommandContext* context);
void AddStatusCommands(CLI::App* app, CommandContext* context);
void AddMemberCommands(CLI::App* app, CommandContext* context);
void AddVerifyCommand(CLI::App* app, CommandContext* context);
void AddOrderCommands(CLI::App* app, CommandContext* context);

}  // namespace citronlane::detail

#endif  // CITRONLANE_CLI_DETAIL_COMMAND_CONTEXT_H_
