#include "citronlane/transport/detail/http_text.h"

#include <array>
#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>

#include "citronlane/transport/http_reply.h"

namespace citronlane::detail {
namespace {

/// Status for a caller that disconnected. Not registered, but in common use.
constexpr int kClientClosedRequest = 499;
constexpr int kHexBase = 16;
constexpr size_t kSizeDigits = 16;

std::string_view Phrase(int status) {
  if (status == kClientClosedRequest) {
    return "Client Closed Request";
  }
  const auto phrase = boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(status));
  return {phrase.data(), phrase.size()};
}

void AppendHeader(std::string_view name,
                  std::string_view value,
                  std::string* text) {
  text->append(name).append(": ").append(value).append("\r\n");
}

std::string HeadText(const HttpReply& reply, bool keep_alive) {
  std::string text = "HTTP/1.1 " + std::to_string(reply.status_) + " ";
  text.append(Phrase(reply.status_)).append("\r\n");
  if (!reply.content_type_.empty()) {
    AppendHeader("Content-Type", reply.content_type_, &text);
  }
  for (const HttpHeader& header : reply.headers_) {
    AppendHeader(header.name_, header.value_, &text);
  }
  if (!keep_alive) {
    AppendHeader("Connection", "close", &text);
  }
  return text;
}

}  // namespace

std::string CompleteReplyHead(const HttpReply& reply, bool keep_alive) {
  std::string text = HeadText(reply, keep_alive);
  AppendHeader("Content-Length", std::to_string(reply.body_.size()), &text);
  text += "\r\n";
  return text;
}

std::string StreamHeadText(const HttpReply& head, bool keep_alive) {
  return HeadText(head, keep_alive) + "Transfer-Encoding: chunked\r\n\r\n";
}

bool MayHaveBody(int status, bool head_request) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return !head_request && status != kNoContent && status != kNotModified;
}

std::string ChunkText(std::string_view bytes) {
  std::array<char, kSizeDigits> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes.size(), kHexBase);
  std::string text(digits.data(), end.ptr);
  text.append("\r\n").append(bytes).append("\r\n");
  return text;
}

}  // namespace citronlane::detail
