#include "citronlane/control/detail/admin_replies.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

constexpr int kRetryAfterSeconds = 1;

std::string_view TitleOf(AdminStatus status) {
  switch (status) {
    case AdminStatus::kUnauthorized:
      return "The call needs an operator's key.";
    case AdminStatus::kForbidden:
      return "The operator's role does not allow the call.";
    case AdminStatus::kNotFound:
      return "There is no such thing.";
    case AdminStatus::kMethodNotAllowed:
      return "The path does not take this method.";
    case AdminStatus::kConflict:
      return "The call conflicts with the present state.";
    case AdminStatus::kTooLarge:
      return "The body is over the limit.";
    case AdminStatus::kUnprocessable:
      return "The content has faults.";
    case AdminStatus::kTooMany:
      return "Too many are remembered.";
    case AdminStatus::kUnavailable:
      return "No quorum of control VMs can be reached.";
    default:
      return "The call can not be read.";
  }
}

}  // namespace

JsonValue JsonNumber(uint64_t number) {
  return JsonValue::Number(static_cast<double>(number));
}

AdminResponse JsonReply(const JsonValue& body) {
  AdminResponse response;
  response.body_ = WriteJson(body) + "\n";
  return response;
}

AdminResponse ProblemReply(AdminStatus status,
                           std::string_view detail,
                           const JsonValue& members) {
  JsonValue body = JsonValue::Object();
  body.Set("title", JsonValue::String(TitleOf(status)));
  body.Set("status", JsonNumber(static_cast<uint64_t>(status)));
  if (!detail.empty()) {
    body.Set("detail", JsonValue::String(detail));
  }
  for (const JsonValue::Member& member : members.members()) {
    body.Set(member.first, member.second);
  }
  AdminResponse response = JsonReply(body);
  response.status_ = static_cast<int>(status);
  response.content_type_ = "application/problem+json";
  return response;
}

AdminResponse UnavailableReply(std::string_view detail) {
  AdminResponse response = ProblemReply(AdminStatus::kUnavailable, detail);
  response.retry_after_ = kRetryAfterSeconds;
  return response;
}

JsonValue FaultList(const std::vector<Fault>& faults) {
  JsonValue list = JsonValue::Array();
  for (const Fault& fault : faults) {
    JsonValue item = JsonValue::Object();
    item.Set("path", JsonValue::String(fault.path_));
    item.Set("line", JsonNumber(static_cast<uint64_t>(fault.line_)));
    item.Set("message", JsonValue::String(fault.message_));
    list.Append(std::move(item));
  }
  return list;
}

AdminResponse BadBody(const std::vector<Fault>& faults) {
  JsonValue members = JsonValue::Object();
  members.Set("faults", FaultList(faults));
  return ProblemReply(AdminStatus::kBadRequest, "The body has faults.",
                      members);
}

std::optional<uint64_t> QueryNumber(std::string_view query,
                                    std::string_view name) {
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    const size_t equals = part.find('=');
    if (equals == std::string_view::npos || part.substr(0, equals) != name) {
      continue;
    }
    const std::string_view digits = part.substr(equals + 1);
    uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error == std::errc() && end == digits.data() + digits.size()) {
      return number;
    }
  }
  return std::nullopt;
}

}  // namespace citronlane
