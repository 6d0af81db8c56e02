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

/// Options, output streams and exit code that all commands share. The streams
/// must outlive it.
struct CommandContext {
  CommandContext(std::ostream& out, std::ostream& err) : out_(out), err_(err) {}

  std::ostream& out_;
  std::ostream& err_;
  /// Whether to print JSON instead of text.
  bool json_ = false;
  AdminOptions admin_;
  /// Set by the command that ran.
  ExitCode exit_code_ = ExitCode::kSuccess;

  /// Prints "error: <message>" and sets the exit code.
  void Fail(ExitCode code, std::string_view message);
  /// Prints a value as compact JSON or as indented "name: value" lines.
  void Print(const JsonValue& value);
  /// Prints the body of a response. For a status of 400 or more, prints an
  /// error and sets the exit code to kFailure.
  void PrintReply(const AdminReply& reply);
};

/// Returns a random id by which the server recognizes a repeated change.
std::string NewChangeId();
/// Sends a GET to the administration API and prints the response.
void RunGet(const std::string& path, CommandContext* context);
/// Returns a validator of options that accepts "IP:port".
CLI::Validator EndpointValidator();
/// Adds --json.
void AddJsonOption(CLI::App* command, CommandContext* context);
/// Adds --admin, --key-file, --ca-file, --timeout and --json.
void AddAdminOptions(CLI::App* command, CommandContext* context);

/// Each of these adds commands to `app`. Their callbacks use `context`, which
/// must outlive the call of `app->parse`.
void AddProcessCommands(CLI::App* app, CommandContext* context);
void AddCheckCommand(CLI::App* app, CommandContext* context);
void AddConfigCommands(CLI::App* app, CommandContext* context);
void AddStatusCommands(CLI::App* app, CommandContext* context);
void AddMemberCommands(CLI::App* app, CommandContext* context);
void AddVerifyCommand(CLI::App* app, CommandContext* context);
void AddOrderCommands(CLI::App* app, CommandContext* context);

}  // namespace citronlane::detail

#endif  // CITRONLANE_CLI_DETAIL_COMMAND_CONTEXT_H_
