#include <CLI/CLI.hpp>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <thread>

#include "citronlane/cli/admin_client.h"
#include "citronlane/cli/detail/command_context.h"
#include "citronlane/json/parse.h"
#include "citronlane/settings/files.h"

namespace citronlane::detail {
namespace {

using std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kPollInterval(50);
constexpr uint64_t kNoVersion = UINT64_MAX;

// Options of the commands that change the configuration.
struct ChangeOptions {
  std::string patch_file_;
  std::string document_file_;
  std::string reason_;
  std::string change_id_;
  uint64_t base_version_ = kNoVersion;
  uint64_t rollback_to_ = kNoVersion;
  bool wait_ = false;
};

JsonValue Number(uint64_t number) {
  return JsonValue::Number(static_cast<double>(number));
}

std::optional<JsonValue> ReadJsonFile(const std::string& path, Error* error) {
  const std::optional<std::string> text = ReadFile(path, error);
  if (!text) {
    return std::nullopt;
  }
  Fault fault;
  std::optional<JsonValue> value = ParseJson(*text, &fault);
  if (!value) {
    error->message_ = path + ": line " + std::to_string(fault.line_) + ": " +
                      fault.path_ + (fault.path_.empty() ? "" : ": ") +
                      fault.message_;
  }
  return value;
}

// Returns the current version, the default base of a change.
std::optional<uint64_t> CurrentVersion(AdminClient* client, Error* error) {
  const std::optional<AdminReply> reply = client->Get("/v1/config", error);
  if (!reply) {
    return std::nullopt;
  }
  const JsonValue* version = reply->body_.Find("version");
  if (version == nullptr || !version->IsNumber()) {
    error->message_ = "control answered " + std::to_string(reply->status_) +
                      " without a version";
    return std::nullopt;
  }
  return static_cast<uint64_t>(version->AsNumber());
}

// Sets the member of the body that has the content of the change: the version
// to roll back to, or the file that the options name.
bool SetContent(const ChangeOptions& options, JsonValue* body, Error* error) {
  if (options.rollback_to_ != kNoVersion) {
    body->Set("version", Number(options.rollback_to_));
    return true;
  }
  const bool is_patch = !options.patch_file_.empty();
  std::optional<JsonValue> content = ReadJsonFile(
      is_patch ? options.patch_file_ : options.document_file_, error);
  if (!content) {
    return false;
  }
  body->Set(is_patch ? "patch" : "document", *std::move(content));
  return true;
}

bool IsInForce(const JsonValue& status) {
  const JsonValue* in_force = status.Find("in_force");
  return in_force != nullptr && in_force->IsBool() && in_force->AsBool();
}

void PrintInForce(uint64_t version,
                  const JsonValue& status,
                  CommandContext* context) {
  if (context->json_) {
    context->Print(status);
    return;
  }
  context->out_ << "version " << version << " is in force everywhere\n";
  const JsonValue* waited_out = status.Find("waited_out");
  if (waited_out == nullptr) {
    return;
  }
  for (const JsonValue& gateway : waited_out->items()) {
    context->out_ << "waited out the lease of gateway " << gateway.AsString()
                  << "; it refuses new work until it has this version\n";
  }
}

// Polls until the version is in force on all gateways or the timeout is over.
void WaitInForce(uint64_t version,
                 AdminClient* client,
                 CommandContext* context) {
  const auto deadline = steady_clock::now() + context->admin_.timeout_;
  const std::string path =
      "/v1/config/status?version=" + std::to_string(version);
  while (steady_clock::now() < deadline) {
    Error error;
    const std::optional<AdminReply> reply = client->Get(path, &error);
    if (!reply) {
      context->Fail(ExitCode::kFailure, error.message_);
      return;
    }
    if (reply->status_ == kOk && IsInForce(reply->body_)) {
      PrintInForce(version, reply->body_, context);
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  context->Fail(ExitCode::kFailure,
                "version " + std::to_string(version) +
                    " is committed, but not in force everywhere yet");
}

void SendChange(const ChangeOptions& options,
                const JsonValue& body,
                AdminClient* client,
                CommandContext* context) {
  const bool is_rollback = options.rollback_to_ != kNoVersion;
  Error error;
  const std::optional<AdminReply> reply = client->Post(
      is_rollback ? "/v1/config/rollback" : "/v1/config/changes", body, &error);
  if (!reply) {
    context->Fail(ExitCode::kFailure, "not known to be committed; change id " +
                                          body.Find("change_id")->AsString() +
                                          ": " + error.message_);
    return;
  }
  const JsonValue* version = reply->body_.Find("version");
  const bool committed =
      reply->status_ == kOk && version != nullptr && version->IsNumber();
  if (!committed || !options.wait_ || !context->json_) {
    context->PrintReply(*reply);
  }
  if (committed && options.wait_) {
    WaitInForce(static_cast<uint64_t>(version->AsNumber()), client, context);
  }
}

void RunChange(const ChangeOptions& options, CommandContext* context) {
  Error error;
  JsonValue body = JsonValue::Object();
  if (!SetContent(options, &body, &error)) {
    context->Fail(ExitCode::kUsage, error.message_);
    return;
  }
  AdminClient client(context->admin_);
  std::optional<uint64_t> base = options.base_version_;
  if (options.base_version_ == kNoVersion) {
    base = CurrentVersion(&client, &error);
  }
  if (!base) {
    context->Fail(ExitCode::kFailure, error.message_);
    return;
  }
  body.Set("change_id",
           JsonValue::String(options.change_id_.empty() ? NewChangeId()
                                                        : options.change_id_));
  body.Set("base_version", Number(*base));
  body.Set("reason", JsonValue::String(options.reason_));
  SendChange(options, body, &client, context);
}

std::string WithVersion(const std::string& path, uint64_t version) {
  return version == kNoVersion ? path
                               : path + "?version=" + std::to_string(version);
}

void AddGet(CLI::App* group,
            const std::string& name,
            const std::string& help,
            const std::string& path,
            bool takes_version,
            CommandContext* context) {
  CLI::App* command = group->add_subcommand(name, help);
  const auto version = std::make_shared<uint64_t>(kNoVersion);
  if (takes_version) {
    command->add_option("--version", *version, "Version (the present one)");
  }
  AddAdminOptions(command, context);
  command->callback([path, version, context] {
    RunGet(WithVersion(path, *version), context);
  });
}

void AddChangeOptions(CLI::App* command, ChangeOptions* options) {
  command->add_option("--reason", options->reason_, "Why, for the history")
      ->required();
  command->add_option("--base", options->base_version_,
                      "Version the change is made for (the present one)");
  command->add_option("--change-id", options->change_id_,
                      "Id of the change, to send it again (a new one)");
  command->add_flag("--wait", options->wait_,
                    "Return once it is in force everywhere");
}

void AddApply(CLI::App* group, CommandContext* context) {
  CLI::App* command =
      group->add_subcommand("apply", "Change the configuration");
  const auto options = std::make_shared<ChangeOptions>();
  CLI::Option_group* content = command->add_option_group("content");
  content->add_option("--patch", options->patch_file_,
                      "File with a JSON merge patch (RFC 7396)");
  content->add_option("--document", options->document_file_,
                      "File with the whole configuration");
  content->require_option(1);
  AddChangeOptions(command, options.get());
  AddAdminOptions(command, context);
  command->callback([options, context] { RunChange(*options, context); });
}

void AddRollback(CLI::App* group, CommandContext* context) {
  CLI::App* command = group->add_subcommand(
      "rollback", "Make an earlier version's content a new version");
  const auto options = std::make_shared<ChangeOptions>();
  command->add_option("VERSION", options->rollback_to_, "The earlier version")
      ->required();
  AddChangeOptions(command, options.get());
  AddAdminOptions(command, context);
  command->callback([options, context] { RunChange(*options, context); });
}

}  // namespace

void AddConfigCommands(CLI::App* app, CommandContext* context) {
  CLI::App* group =
      app->add_subcommand("config", "Read and change the configuration");
  group->require_subcommand(1);
  AddGet(group, "get", "Print the configuration", "/v1/config", true, context);
  AddGet(group, "history", "Print who changed what, when and why",
         "/v1/config/history", false, context);
  AddGet(group, "status", "Print each gateway's version and since when",
         "/v1/config/status", true, context);
  AddApply(group, context);
  AddRollback(group, context);
}

}  // namespace citronlane::detail
