// How a connection reads a request, within the limits of its listener.

#include "citronlane/transport/detail/http_connection.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/beast/http/read.hpp>

#include "citronlane/base/text.h"
#include "citronlane/net/traffic_count.h"
#include "citronlane/transport/detail/http_text.h"
#include "citronlane/transport/http_request.h"

namespace citronlane::detail {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
/// Memory of a request that is served, besides what depends on its size.
constexpr uint64_t kRequestBytes = uint64_t{32} << 10;
/// Memory of a parsed head divided by its bytes, if it consists of the shortest
/// header fields or prompt segments.
constexpr uint64_t kParsedHeadRatio = 64;

/// Returns the request without its body. Fields of a trailer are not read yet.
template <typename Message>
HttpRequest HeadOf(const Message& message) {
  HttpRequest request;
  const auto method = message.method_string();
  const auto target = message.target();
  request.method_.assign(method.data(), method.size());
  request.target_.assign(target.data(), target.size());
  request.headers_.reserve(
      static_cast<size_t>(std::distance(message.begin(), message.end())));
  for (const auto& field : message) {
    const auto name = field.name_string();
    const auto value = field.value();
    request.headers_.push_back(
        {{name.data(), name.size()}, {value.data(), value.size()}});
  }
  return request;
}

size_t HeadBytes(const HttpRequest& request) {
  constexpr size_t kSeparatorBytes = 4;
  size_t bytes = request.method_.size() + request.target_.size();
  for (const HttpHeader& header : request.headers_) {
    bytes += header.name_.size() + header.value_.size() + kSeparatorBytes;
  }
  return bytes;
}

/// Whether another HTTP parser could find a different end of the request. The
/// only accepted transfer coding is a single "chunked".
template <typename Message>
bool HasUnclearFraming(const Message& message) {
  const auto [begin, end] = message.equal_range(http::field::transfer_encoding);
  if (begin == end) {
    return false;
  }
  const auto value = begin->value();
  return std::next(begin) != end || message.version() < kHttp11 ||
         !EqualsIgnoringCase({value.data(), value.size()}, "chunked");
}

bool IsParseError(const error_code& error) {
  return error.category() ==
         http::make_error_code(http::error::bad_method).category();
}

}  // namespace

bool HttpConnection::ReadRequest(HttpRequest* request) {
  error_code error;
  // The parser, which holds the body, is gone while a refusal is sent.
  const auto refusal = ReadMessage(request, &error);
  if (!refusal && !error) {
    stream_.ExpiresNever();
    return true;
  }
  *request = HttpRequest();
  if (refusal) {
    EndWith(*refusal);
  } else {
    RefuseUnreadable(error);
  }
  return false;
}

std::optional<HttpReply> HttpConnection::ReadMessage(HttpRequest* request,
                                                     error_code* error) {
  const auto& hooks = state_->hooks_;
  // The limits may have changed during the wait.
  const HttpLimits& limits = state_->limits_;
  Parser parser;
  parser.header_limit(limits.header_bytes_);
  parser.body_limit(limits.body_bytes_);
  // A chunk line or a trailer is parsed once it is complete, so that the buffer
  // bounds its size.
  buffer_.max_size(
      std::max<size_t>(buffer_.size(), limits.header_bytes_ + kFirstReadBytes));
  stream_.ExpiresAfter(limits.read_timeout_);
  if (!Charge(buffer_.max_size(), PlaceNeeded::kConnection)) {
    return hooks.refuse_(RefusalReason::kBodyMemoryExhausted);
  }
  CountTraffic(
      http::async_read_header(stream_, buffer_, parser, (*yield_)[*error]));
  if (*error) {
    return std::nullopt;
  }
  if (HasUnclearFraming(parser.get())) {
    return hooks.refuse_(RefusalReason::kMalformedRequest);
  }
  *request = HeadOf(parser.get());
  if (hooks.refuse_head_) {
    if (auto refusal = hooks.refuse_head_(*request)) {
      return refusal;
    }
  }
  if (!ReadBody(HeadBytes(*request), &parser, error)) {
    return hooks.refuse_(RefusalReason::kBodyMemoryExhausted);
  }
  keep_alive_ = parser.get().keep_alive();
  request->body_ = std::move(parser.get().body());
  return std::nullopt;
}

bool HttpConnection::ReadBody(size_t head_bytes,
                              Parser* parser,
                              error_code* error) {
  const uint64_t head = kRequestBytes + head_bytes * kParsedHeadRatio;
  const uint64_t length = std::min<uint64_t>(
      parser->content_length().value_or(0), state_->limits_.body_bytes_);
  if (!Charge(head + length, PlaceNeeded::kRequest)) {
    return false;
  }
  if (parser->get()[http::field::expect] == "100-continue") {
    Send(kContinue);
    stream_.ExpiresAfter(state_->limits_.read_timeout_);
  }
  parser->eager(true);
  while (!*error && !parser->is_done()) {
    const size_t got =
        http::async_read_some(stream_, buffer_, *parser, (*yield_)[*error]);
    CountTraffic(got);
    activity_.received_ += got;
    const uint64_t held =
        std::max<uint64_t>(length, parser->get().body().capacity());
    if (!*error && !Charge(head + held, PlaceNeeded::kRequest)) {
      return false;
    }
  }
  return true;
}

void HttpConnection::RefuseUnreadable(const error_code& error) {
  keep_alive_ = false;
  if (error == http::error::end_of_stream) {
    return;
  }
  if (error == beast::error::timeout) {
    // The stream's timeout has closed the socket, so that no response can be
    // sent. The refusal is only recorded.
    state_->hooks_.refuse_(RefusalReason::kReadTimeout);
  } else if (error == http::error::header_limit) {
    Refuse(RefusalReason::kHeaderTooLarge);
  } else if (error == http::error::body_limit) {
    Refuse(RefusalReason::kBodyTooLarge);
  } else if (IsParseError(error)) {
    Refuse(RefusalReason::kMalformedRequest);
  }
}

}  // namespace citronlane::detail
