#include "citronlane/cli/run.h"
#include "citronlane/process/allocator.h"
#include "platform/commands.h"

int main(int argc, char** argv) {
  citronlane::ReturnLargeBlocks();
  return citronlane::RunCommandLine(argc, argv,
                                    citronlane::platform::AddCommands);
}
