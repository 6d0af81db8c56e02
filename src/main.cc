#include "citronlane/cli/run.h"
#include "platform/commands.h"

int main(int argc, char** argv) {
  return citronlane::RunCommandLine(argc, argv,
                                    citronlane::platform::AddCommands);
}
