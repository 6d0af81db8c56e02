#include <signal.h>

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "citronlane/cli/detail/command_context.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/observe/logger.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/settings/control_settings.h"
#include "citronlane/settings/files.h"
#include "citronlane/settings/gateway_settings.h"
#ifdef CITRONLANE_HAS_GATEWAY
#include "citronlane/app/gateway_run.h"
#endif
#ifdef CITRONLANE_HAS_CONTROL
#include "citronlane/app/control_run.h"
#endif

namespace citronlane::detail {
namespace {

// Threads of the logging library start before the process's own: they must
// not take the signals that stop it.
void BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// Reads the file with `parse`, prints all faults, and sets up logging.
template <typename Parse>
auto Load(const std::string& path, const Parse& parse, CommandContext* context)
    -> decltype(parse("", path, nullptr)) {
  Error error;
  const std::optional<std::string> text = ReadFile(path, &error);
  if (!text) {
    context->Fail(ExitCode::kUsage, error.message_);
    return std::nullopt;
  }
  std::vector<Fault> faults;
  auto settings = parse(*text, path, &faults);
  if (!settings) {
    context->exit_code_ = ExitCode::kUsage;
    for (const std::string& line : FormatFaults(faults)) {
      context->err_ << path << ": " << line << '\n';
    }
    return std::nullopt;
  }
  BlockStopSignals();
  if (!ConfigureLogging(settings->log_, &error)) {
    context->Fail(ExitCode::kUsage, error.message_);
    return std::nullopt;
  }
  return settings;
}

void RunGatewayCommand(const std::string& path, CommandContext* context) {
  const auto settings = Load(path, ParseGatewaySettings, context);
  if (!settings) {
    return;
  }
#ifdef CITRONLANE_HAS_GATEWAY
  const Logger logger("gateway");
  Metrics metrics;
  metrics.Set(kBuildInfo, {CITRONLANE_VERSION}, 1);
  GatewayHooks hooks;
  hooks.log_ = logger.Hook();
  hooks.metrics_text_ = [&metrics] { return metrics.Text(); };
  Error error;
  if (!RunGateway(settings->gateway_, std::move(hooks), &error)) {
    context->Fail(ExitCode::kFailure, error.message_);
  }
#else
  context->Fail(ExitCode::kFailure, "the gateway is not available yet");
#endif
}

void RunControlCommand(const std::string& path, CommandContext* context) {
  const auto settings = Load(path, ParseControlSettings, context);
  if (!settings) {
    return;
  }
#ifdef CITRONLANE_HAS_CONTROL
  const Logger logger("control");
  Metrics metrics;
  metrics.Set(kBuildInfo, {CITRONLANE_VERSION}, 1);
  ControlNodeHooks hooks;
  hooks.log_ = logger.Hook();
  hooks.metrics_text_ = [&metrics] { return metrics.Text(); };
  Error error;
  if (!RunControl(settings->control_, std::move(hooks), &error)) {
    context->Fail(ExitCode::kFailure, error.message_);
  }
#else
  context->Fail(ExitCode::kFailure, "control is not available yet");
#endif
}

using Run = void (*)(const std::string& path, CommandContext* context);

void AddProcess(CLI::App* app,
                const std::string& name,
                const std::string& help,
                Run run,
                CommandContext* context) {
  CLI::App* command = app->add_subcommand(name, help);
  const auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "Settings file, JSON with comments")
      ->required();
  command->callback([path, run, context] { run(*path, context); });
}

}  // namespace

void AddProcessCommands(CLI::App* app, CommandContext* context) {
  AddProcess(app, "gateway",
             "Serve callers until SIGTERM, then finish what is in flight",
             RunGatewayCommand, context);
  AddProcess(app, "control", "Serve as one of the control VMs until SIGTERM",
             RunControlCommand, context);
}

}  // namespace citronlane::detail
