#include "citronlane/cli/run.h"

int main(int argc, char** argv) {
  return citronlane::RunCommandLine(argc, argv);
}
