#ifndef CITRONLANE_CLI_RUN_H_
#define CITRONLANE_CLI_RUN_H_

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

}  // namespace citronlane

#endif  // CITRONLANE_CLI_RUN_H_
