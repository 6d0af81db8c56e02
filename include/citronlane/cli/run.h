#ifndef CITRONLANE_CLI_RUN_H_
#define CITRONLANE_CLI_RUN_H_

#include <iosfwd>
#include <string>

#include "absl/types/span.h"

namespace citronlane {

/// Exit codes of every command.
enum class ExitCode {
  kSuccess = 0,
  kFailure = 1,
  kUsage = 2,
};

/// Runs the command line and returns the process's exit code. Call once, from
/// the main thread.
int RunCommandLine(int argc, char** argv);

/// The same with the arguments after the program's name and with the streams to
/// print to.
ExitCode RunCommandLine(absl::Span<const std::string> arguments,
                        std::ostream& out,
                        std::ostream& err);

}  // namespace citronlane

#endif  // CITRONLANE_CLI_RUN_H_
