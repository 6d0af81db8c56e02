#include <grpc/support/log.h>
#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/cli/detail/command_context.h"
#include "citronlane/control/control_run.h"
#include "citronlane/gateway/gateway_run.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/observe/logger.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"
#include "citronlane/process/stop_signals.h"
#include "citronlane/settings/control_settings.h"
#include "citronlane/settings/files.h"
#include "citronlane/settings/gateway_settings.h"
#include "citronlane/storage/posix_file_system.h"
#include "citronlane/storage/recover.h"

namespace citronlane::detail {
namespace {

// Log function of the gRPC library; gives its lines the layout of the settings.
void WriteGrpcLine(gpr_log_func_args* line) {
  static const Logger logger("grpc");
  const bool is_error = line->severity == GPR_LOG_SEVERITY_ERROR;
  logger.Write(is_error ? LogLevel::kWarn : LogLevel::kDebug, line->message);
}

// Reads the file with `parse`, prints all validation errors and configures
// logging.
template <typename Parse>
auto LoadSettings(const std::string& path,
                  const Parse& parse,
                  CommandContext* context)
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
  // Blocks the stop signals before the logging library starts its threads,
  // which inherit the signal mask and must not receive them.
  const StopSignals signals;
  if (!ConfigureLogging(settings->log_, &error)) {
    context->Fail(ExitCode::kUsage, error.message_);
    return std::nullopt;
  }
  gpr_set_log_function(WriteGrpcLine);
  return settings;
}

void RunGatewayCommand(const std::string& path, CommandContext* context) {
  const auto settings = LoadSettings(path, ParseGatewaySettings, context);
  if (!settings) {
    return;
  }
  Error error;
  if (!RunGateway(settings->gateway_, GatewayHooks(), &error)) {
    Logger("gateway").Error(error.message_);
    context->Fail(ExitCode::kFailure, error.message_);
  }
}

void RunControlCommand(const std::string& path, CommandContext* context) {
  const auto settings = LoadSettings(path, ParseControlSettings, context);
  if (!settings) {
    return;
  }
  const Logger logger("control");
  Metrics metrics;
  metrics.Set(kBuildInfo, {CITRONLANE_VERSION}, 1);
  ControlNodeHooks hooks;
  hooks.log_ = logger.Hook();
  hooks.metrics_text_ = [&metrics] { return metrics.Text(); };
  hooks.on_unread_ = [&metrics](RefusalReason reason) {
    metrics.Count(kConnectionsClosedTotal, {ToString(reason)});
  };
  hooks.on_place_lost_ = [&metrics](std::string_view phase) {
    metrics.Count(kPlacesLostTotal, {"administration", phase});
  };
  Error error;
  if (!RunControl(settings->control_, std::move(hooks), &error)) {
    logger.Error(error.message_);
    context->Fail(ExitCode::kFailure, error.message_);
  }
}

// Reports the condition of the data folder; moves it aside if that is needed
// and `apply` is set.
void RunRecoverCommand(const std::string& path,
                       bool apply,
                       CommandContext* context) {
  const auto settings = LoadSettings(path, ParseControlSettings, context);
  if (!settings) {
    return;
  }
  const ReplicaOptions& replica = settings->control_.replica_;
  const FileSystem files = PosixFileSystem();
  Error error;
  const auto report =
      InspectDataFolder(files, replica.data_dir_, replica.raft_.id_, &error);
  if (!report) {
    context->Fail(ExitCode::kFailure, error.message_);
    return;
  }
  for (const std::string& line : report->lines_) {
    context->out_ << line << '\n';
  }
  if (report->finding_ != RecoveryReport::Finding::kUntrusted) {
    return;
  }
  if (!apply) {
    context->out_ << "Nothing was changed; use --apply to do this.\n";
  } else if (SetDataFolderAside(files, replica.data_dir_, *report, &error)) {
    context->out_ << "Done.\n";
  } else {
    context->Fail(ExitCode::kFailure, error.message_);
  }
}

using Run = void (*)(const std::string& path, CommandContext* context);

// Returns the variable that parsing sets to the path of the settings.
std::shared_ptr<std::string> AddProcess(CLI::App* app,
                                        const std::string& name,
                                        const std::string& help,
                                        Run run,
                                        CommandContext* context) {
  CLI::App* command = app->add_subcommand(name, help);
  auto path = std::make_shared<std::string>();
  command->add_option("--settings", *path, "Settings file, JSON with comments")
      ->required();
  command->callback([path, run, context] { run(*path, context); });
  return path;
}

void AddRecovery(CLI::App* control,
                 const std::shared_ptr<std::string>& path,
                 CommandContext* context) {
  const auto recover = std::make_shared<bool>(false);
  const auto apply = std::make_shared<bool>(false);
  CLI::Option* flag = control->add_flag(
      "--recover", *recover,
      "Do not serve: report what has to be done about the data folder");
  control->add_flag("--apply", *apply, "With --recover: do what it reports")
      ->needs(flag);
  control->callback([path, recover, apply, context] {
    if (*recover) {
      RunRecoverCommand(*path, *apply, context);
    } else {
      RunControlCommand(*path, context);
    }
  });
}

}  // namespace

void AddProcessCommands(CLI::App* app, CommandContext* context) {
  AddProcess(app, "gateway",
             "Serve callers until SIGTERM, then finish requests in flight",
             RunGatewayCommand, context);
  const auto path = AddProcess(app, "control",
                               "Serve as one of the control VMs until SIGTERM",
                               RunControlCommand, context);
  AddRecovery(app->get_subcommand("control"), path, context);
}

}  // namespace citronlane::detail
