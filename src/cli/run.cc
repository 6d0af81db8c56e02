#include "citronlane/cli/run.h"

#include <CLI/CLI.hpp>

namespace citronlane {

int RunCommandLine(int argc, char** argv) {
  CLI::App app{"Serving system for multi-stage model pipelines."};
  app.set_version_flag("--version", CITRONLANE_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? static_cast<int>(ExitCode::kSuccess)
                     : static_cast<int>(ExitCode::kUsage);
  }
  return static_cast<int>(ExitCode::kSuccess);
}

}  // namespace citronlane
