#include "citronlane/transport/detail/stage_messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "absl/strings/numbers.h"
#include "citronlane/transport/http_header.h"
#include "citronlane/transport/stage_call_spec.h"

namespace citronlane::detail {
namespace {

/// Whether the text contains the beginning of a status line, such as
/// "HTTP/1.1 200".
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  // Matches the minor version and the status, as in "1 200".
  const auto is_status_line = [text](size_t at) {
    const auto is_digit = [text, at](size_t i) {
      return at + i < text.size() && text[at + i] >= '0' && text[at + i] <= '9';
    };
    return is_digit(0) && text.substr(at + 1, 1) == " " && is_digit(2) &&
           is_digit(3) && is_digit(4);
  };
  size_t at = text.find(kVersion);
  while (at != std::string_view::npos &&
         !is_status_line(at + kVersion.size())) {
    at = text.find(kVersion, at + 1);
  }
  return at != std::string_view::npos;
}

}  // namespace

std::string RequestHeadText(const StageCallSpec& spec) {
  std::string text;
  text.append(spec.method_).append(" ").append(spec.target_);
  text.append(" HTTP/1.1\r\nHost: ");
  text.append(spec.host_.empty() ? spec.Endpoint() : spec.host_);
  text.append("\r\n");
  for (const HttpHeader& header : spec.headers_) {
    text.append(header.name_).append(": ").append(header.value_);
    text.append("\r\n");
  }
  if (spec.fresh_connection_) {
    text.append("Connection: close\r\n");
  }
  if (!spec.body_.empty() ||
      (spec.method_ != "GET" && spec.method_ != "HEAD")) {
    text.append("Content-Length: ").append(std::to_string(spec.body_.size()));
    text.append("\r\n");
  }
  text.append("\r\n");
  return text;
}

StageReplyHead ReadHead(const StageReplyFields& reply) {
  StageReplyHead head;
  head.status_ = static_cast<int>(reply.result_int());
  head.draining_ = reply["X-Draining"] == "1";
  const auto id = reply["X-Attempt-Id"];
  head.echoed_id_.assign(id.data(), id.size());
  const auto load_text = reply["X-Load"];
  double load = 0;
  if (absl::SimpleAtod({load_text.data(), load_text.size()}, &load) &&
      load >= 0) {
    head.load_ = load;
  }
  const auto age_text = reply["X-Load-Age-Ms"];
  int64_t age_ms = 0;
  if (absl::SimpleAtoi({age_text.data(), age_text.size()}, &age_ms) &&
      age_ms > 0) {
    head.load_age_ = std::chrono::milliseconds(age_ms);
  }
  const auto reason = reply.reason();
  head.is_merged_ = ContainsStatusLine({reason.data(), reason.size()}) ||
                    reply.count("X-Attempt-Id") > 1;
  for (const auto& field : reply) {
    const auto name = field.name_string();
    const auto value = field.value();
    head.is_merged_ |= ContainsStatusLine({value.data(), value.size()});
    head.headers_.push_back(
        {{name.data(), name.size()}, {value.data(), value.size()}});
  }
  return head;
}

std::optional<Duration> IdleLimit(const StageReplyFields& reply) {
  const auto field = reply["Keep-Alive"];
  const std::string_view text(field.data(), field.size());
  constexpr std::string_view kTimeout = "timeout=";
  const size_t at = text.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = text.substr(at + kTimeout.size());
  const std::string digits(
      rest.substr(0, rest.find_first_not_of("0123456789")));
  int64_t seconds = 0;
  if (!absl::SimpleAtoi(digits, &seconds)) {
    return std::nullopt;
  }
  constexpr auto kNetworkMargin = std::chrono::milliseconds(700);
  return std::chrono::seconds(seconds) - kNetworkMargin;
}

}  // namespace citronlane::detail
