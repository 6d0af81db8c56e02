#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "citronlane/cli/detail/command_context.h"
#include "citronlane/gateway/receipt.h"
#include "citronlane/gateway/refusal_entry.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"
#include "citronlane/settings/files.h"

namespace citronlane::detail {
namespace {

std::string TextOf(const JsonValue& body, std::string_view name) {
  const JsonValue* member = body.Find(name);
  return member != nullptr && member->IsString() ? member->AsString() : "";
}

// Returns 0 for values that no gateway writes.
uint64_t NumberOf(const JsonValue& body, std::string_view name) {
  constexpr double kLargestExactInteger = 9007199254740992.0;
  const JsonValue* member = body.Find(name);
  if (member == nullptr || !member->IsNumber() || member->AsNumber() < 0 ||
      member->AsNumber() > kLargestExactInteger) {
    return 0;
  }
  return static_cast<uint64_t>(member->AsNumber());
}

Verdict VerdictOf(std::string_view text) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kRan}) {
    if (text == ToString(verdict)) {
      return verdict;
    }
  }
  return Verdict::kMayHaveRun;
}

// Returns the refusal that the body of a response describes. Members that are
// missing or of another type get defaults, with which the receipt does not
// match.
RefusalEntry EntryOf(const JsonValue& body) {
  RefusalEntry entry;
  entry.id_ = TextOf(body, "refusal_id");
  entry.reason_ = static_cast<RefusalReason>(NumberOf(body, "reason"));
  entry.verdict_ = VerdictOf(TextOf(body, "verdict"));
  entry.account_ = TextOf(body, "account");
  entry.class_name_ = TextOf(body, "class");
  entry.target_ = TextOf(body, "target");
  entry.gateway_ = TextOf(body, "gateway");
  entry.config_version_ = NumberOf(body, "config_version");
  entry.time_ms_ = NumberOf(body, "time_ms");
  const JsonValue* figures = body.Find("figures");
  if (figures != nullptr) {
    for (const auto& [name, value] : figures->members()) {
      entry.figures_[name] = value.IsNumber() ? value.AsNumber() : 0;
    }
  }
  return entry;
}

bool IsGenuine(const JsonValue& body, std::string_view key) {
  const RefusalEntry entry = EntryOf(body);
  // VerdictOf maps unknown texts to kMayHaveRun, so the text is compared too.
  return TextOf(body, "verdict") == ToString(entry.verdict_) &&
         TextOf(body, "receipt") == SignReceipt(entry, key);
}

void RunVerify(const std::string& file,
               const std::string& key_file,
               CommandContext* context) {
  Error error;
  const std::optional<std::string> key = ReadKeyFile(key_file, &error);
  const std::optional<std::string> text =
      key ? ReadFile(file, &error) : std::nullopt;
  if (!text) {
    context->Fail(ExitCode::kUsage, error.message_);
    return;
  }
  Fault fault;
  std::optional<JsonValue> body = ParseJson(*text, &fault);
  if (!body || !body->IsObject()) {
    context->Fail(ExitCode::kUsage, file + ": " + fault.message_);
    return;
  }
  const bool genuine = IsGenuine(*body, *key);
  body->Set("genuine", JsonValue::Bool(genuine));
  context->Print(*body);
  if (!genuine) {
    context->Fail(ExitCode::kFailure,
                  "the receipt does not belong to this refusal");
  }
}

}  // namespace

void AddVerifyCommand(CLI::App* app, CommandContext* context) {
  CLI::App* command = app->add_subcommand(
      "verify", "Check the receipt of a refusal without calling control");
  const auto file = std::make_shared<std::string>();
  const auto key_file = std::make_shared<std::string>();
  command->add_option("FILE", *file, "Body of the response")->required();
  command
      ->add_option("--receipt-key-file", *key_file,
                   "The gateways' receipt_key_file")
      ->required();
  AddJsonOption(command, context);
  command->callback(
      [file, key_file, context] { RunVerify(*file, *key_file, context); });
}

}  // namespace citronlane::detail
