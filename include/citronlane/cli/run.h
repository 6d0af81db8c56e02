#ifndef CITRONLANE_CLI_RUN_H_
#define CITRONLANE_CLI_RUN_H_

#include <CLI/CLI.hpp>
#include <functional>
#include <iosfwd>
#include <string>

#include "absl/types/span.h"

namespace citronlane {

namespace detail {
struct CommandContext;
}  // namespace detail

/// Exit codes of every command.
enum class ExitCode {
  kSuccess = 0,
  kFailure = 1,
  kUsage = 2,
};

/// Adds commands to those of the program.
using ExtraCommands =
    std::function<void(CLI::App* app, detail::CommandContext* context)>;

/// Runs the command line and returns the process's exit code. To be called
/// once, from the main thread.
int RunCommandLine(int argc, char** argv, const ExtraCommands& extra);

/// Runs the command line. `arguments` are those after the program's name;
/// output and errors are written to the streams. To be called from the main
/// thread.
ExitCode RunCommandLine(absl::Span<const std::string> arguments,
                        std::ostream& out,
                        std::ostream& err,
                        const ExtraCommands& extra = {});

}  // namespace citronlane

#endif  // CITRONLANE_CLI_RUN_H_
