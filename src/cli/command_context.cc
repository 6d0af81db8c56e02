#include "citronlane/cli/detail/command_context.h"

#include <openssl/rand.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <ostream>
#include <string>

#include "citronlane/cli/admin_client.h"
#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"

namespace citronlane::detail {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kMaxTimeoutSeconds = 3600;
constexpr int kIndent = 2;
constexpr size_t kChangeIdBytes = 12;

bool IsContainer(const JsonValue& value) {
  return value.IsObject() || value.IsArray();
}

bool IsEmpty(const JsonValue& value) {
  return IsContainer(value) && value.items().empty() && value.members().empty();
}

bool IsFlat(const JsonValue& value) {
  return std::none_of(value.members().begin(), value.members().end(),
                      [](const JsonValue::Member& member) {
                        return IsContainer(member.second);
                      });
}

std::string ScalarText(const JsonValue& value) {
  return value.IsString() ? value.AsString() : WriteJson(value);
}

// Returns an object without nested containers as "name: value  name: value".
std::string FlatText(const JsonValue& value) {
  std::string text;
  for (const auto& [name, member] : value.members()) {
    text += (text.empty() ? "" : "  ") + name + ": " + ScalarText(member);
  }
  return text;
}

void PrintText(const JsonValue& value, int indent, std::ostream& out) {
  const std::string margin(static_cast<size_t>(indent), ' ');
  for (const auto& [name, member] : value.members()) {
    out << margin << name << ':';
    if (IsEmpty(member)) {
      out << " none\n";
    } else if (IsContainer(member)) {
      out << '\n';
      PrintText(member, indent + kIndent, out);
    } else {
      out << ' ' << ScalarText(member) << '\n';
    }
  }
  for (const JsonValue& item : value.items()) {
    if (item.IsObject() && IsFlat(item)) {
      out << margin << "- " << FlatText(item) << '\n';
    } else if (IsContainer(item)) {
      out << margin << "-\n";
      PrintText(item, indent + kIndent, out);
    } else {
      out << margin << "- " << ScalarText(item) << '\n';
    }
  }
}

}  // namespace

void CommandContext::Fail(ExitCode code, std::string_view message) {
  err_ << "error: " << message << '\n';
  exit_code_ = code;
}

void CommandContext::Print(const JsonValue& value) {
  if (json_) {
    out_ << WriteJson(value) << '\n';
  } else if (IsContainer(value)) {
    PrintText(value, 0, out_);
  } else {
    out_ << ScalarText(value) << '\n';
  }
}

void CommandContext::PrintReply(const AdminReply& reply) {
  if (reply.status_ < kFirstErrorStatus) {
    Print(reply.body_);
    return;
  }
  if (json_) {
    Print(reply.body_);
  }
  const JsonValue* detail = reply.body_.Find("detail");
  if (detail == nullptr) {
    detail = reply.body_.Find("outcome");
  }
  Fail(ExitCode::kFailure,
       "control answered " + std::to_string(reply.status_) +
           (detail != nullptr ? ": " + ScalarText(*detail) : std::string()));
  if (!json_ && reply.body_.IsObject()) {
    JsonValue rest = reply.body_;
    for (const char* shown : {"title", "status", "detail", "outcome"}) {
      rest.Remove(shown);
    }
    PrintText(rest, kIndent, err_);
  }
}

CLI::Validator EndpointValidator() {
  return CLI::Validator(
      [](std::string& text) {
        return IsEndpoint(text) ? std::string()
                                : "must be IP:port with an IP number";
      },
      "IP:port");
}

std::string NewChangeId() {
  constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, kChangeIdBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string id;
  for (const unsigned char byte : bytes) {
    id.push_back(kDigits[byte >> 4]);
    id.push_back(kDigits[byte & 15]);
  }
  return id;
}

void RunGet(const std::string& path, CommandContext* context) {
  Error error;
  const std::optional<AdminReply> reply =
      AdminClient(context->admin_).Get(path, &error);
  if (reply) {
    context->PrintReply(*reply);
  } else {
    context->Fail(ExitCode::kFailure, error.message_);
  }
}

void AddJsonOption(CLI::App* command, CommandContext* context) {
  command->add_flag("--json", context->json_, "Print JSON for scripts");
}

void AddAdminOptions(CLI::App* command, CommandContext* context) {
  AdminOptions* admin = &context->admin_;
  command
      ->add_option("--admin", admin->addresses_,
                   "Admin addresses of the control VMs, IP:port, with commas")
      ->delimiter(',')
      ->check(EndpointValidator())
      ->envname("CITRONLANE_ADMIN")
      ->required();
  command
      ->add_option("--key-file", admin->key_file_,
                   "File with the operator's key")
      ->envname("CITRONLANE_KEY_FILE");
  command
      ->add_option("--ca-file", admin->ca_file_,
                   "Use TLS; certificates that sign the control VMs'")
      ->envname("CITRONLANE_CA_FILE");
  command
      ->add_option_function<int>(
          "--timeout",
          [admin](int seconds) {
            admin->timeout_ = std::chrono::seconds(seconds);
          },
          "Seconds for the command with all its tries (10)")
      ->check(CLI::Range(1, kMaxTimeoutSeconds));
  AddJsonOption(command, context);
}

}  // namespace citronlane::detail
