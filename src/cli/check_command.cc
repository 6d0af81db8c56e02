#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "citronlane/cli/detail/command_context.h"
#include "citronlane/config/parse_cluster_config.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"
#include "citronlane/settings/control_settings.h"
#include "citronlane/settings/files.h"
#include "citronlane/settings/gateway_settings.h"

namespace citronlane::detail {
namespace {

// The version does not matter for validation.
constexpr uint64_t kAnyVersion = 1;

// Detects the kind of a file by its top-level keys.
std::string_view KindOf(const std::string& text) {
  std::vector<Fault> ignored;
  const std::optional<JsonValue> root = ParseJsonCollecting(text, &ignored);
  if (root && root->Find("gateway") != nullptr) {
    return "gateway settings";
  }
  if (root && root->Find("control") != nullptr) {
    return "control settings";
  }
  return "configuration";
}

std::vector<Fault> FaultsOf(std::string_view kind,
                            const std::string& text,
                            const std::string& path) {
  std::vector<Fault> faults;
  if (kind == "gateway settings") {
    ParseGatewaySettings(text, path, &faults);
  } else if (kind == "control settings") {
    ParseControlSettings(text, path, &faults);
  } else {
    ParseClusterConfig(text, kAnyVersion, &faults);
  }
  return faults;
}

JsonValue FaultToJson(const Fault& fault) {
  JsonValue value = JsonValue::Object();
  value.Set("path", JsonValue::String(fault.path_));
  value.Set("line", JsonValue::Number(fault.line_));
  value.Set("message", JsonValue::String(fault.message_));
  return value;
}

void PrintJson(const std::string& path,
               std::string_view kind,
               const std::vector<Fault>& faults,
               CommandContext* context) {
  JsonValue list = JsonValue::Array();
  for (const Fault& fault : faults) {
    list.Append(FaultToJson(fault));
  }
  JsonValue result = JsonValue::Object();
  result.Set("file", JsonValue::String(path));
  result.Set("kind", JsonValue::String(kind));
  result.Set("faults", std::move(list));
  context->Print(result);
}

void CheckFile(const std::string& path, CommandContext* context) {
  Error error;
  const std::optional<std::string> text = ReadFile(path, &error);
  if (!text) {
    context->Fail(ExitCode::kUsage, error.message_);
    return;
  }
  const std::string_view kind = KindOf(*text);
  const std::vector<Fault> faults = FaultsOf(kind, *text, path);
  if (context->json_) {
    PrintJson(path, kind, faults, context);
  } else if (faults.empty()) {
    context->out_ << path << ": " << kind << ", no faults\n";
  }
  if (faults.empty()) {
    return;
  }
  context->exit_code_ = ExitCode::kUsage;
  if (!context->json_) {
    for (const std::string& line : FormatFaults(faults)) {
      context->err_ << path << ": " << line << '\n';
    }
  }
}

}  // namespace

void AddCheckCommand(CLI::App* app, CommandContext* context) {
  CLI::App* command = app->add_subcommand(
      "check", "Check a settings or configuration file; print all faults");
  const auto path = std::make_shared<std::string>();
  command->add_option("FILE", *path, "The file")->required();
  AddJsonOption(command, context);
  command->callback([path, context] { CheckFile(*path, context); });
}

}  // namespace citronlane::detail
