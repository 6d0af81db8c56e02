#include "citronlane/cli/run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "citronlane/cli/detail/command_context.h"

namespace citronlane {
namespace {

constexpr char kFooter[] =
    "Exit codes: 0 success, 1 failure, 2 wrong usage or invalid settings.";

}  // namespace

ExitCode RunCommandLine(absl::Span<const std::string> arguments,
                        std::ostream& out,
                        std::ostream& err,
                        const ExtraCommands& extra) {
  CLI::App app{"Serving system for multi-stage model pipelines.", "citronlane"};
  app.set_version_flag("--version", std::string(CITRONLANE_VERSION));
  app.require_subcommand(1);
  app.footer(kFooter);
  detail::CommandContext context(out, err);
  detail::AddProcessCommands(&app, &context);
  detail::AddCheckCommand(&app, &context);
  detail::AddConfigCommands(&app, &context);
  detail::AddStatusCommands(&app, &context);
  detail::AddVerifyCommand(&app, &context);
  detail::AddMemberCommands(&app, &context);
  detail::AddOrderCommands(&app, &context);
  if (extra) {
    extra(&app, &context);
  }
  try {
    // CLI11 takes the arguments in reverse order.
    app.parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? ExitCode::kSuccess
                                          : ExitCode::kUsage;
  }
  return context.exit_code_;
}

int RunCommandLine(int argc, char** argv, const ExtraCommands& extra) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1),
                                           argv + argc);
  return static_cast<int>(
      RunCommandLine(arguments, std::cout, std::cerr, extra));
}

}  // namespace citronlane
