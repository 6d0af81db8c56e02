#ifndef CITRONLANE_TRANSPORT_DETAIL_HTTP_TEXT_H_
#define CITRONLANE_TRANSPORT_DETAIL_HTTP_TEXT_H_

#include <string>
#include <string_view>

namespace citronlane {
struct HttpReply;
}  // namespace citronlane

namespace citronlane::detail {

constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns the bytes of the head of a complete response. Its body follows,
/// except for a HEAD request.
std::string CompleteReplyHead(const HttpReply& reply, bool keep_alive);

/// Returns the bytes of the head of a chunked response.
std::string StreamHeadText(const HttpReply& head, bool keep_alive);

/// Whether a body may follow the head of a response. Bytes after a response
/// without a body would be read as the start of the next response.
bool MayHaveBody(int status, bool head_request);

/// Returns one chunk of a chunked body. Precondition: `bytes` is not empty,
/// since an empty chunk ends the body.
std::string ChunkText(std::string_view bytes);

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_TEXT_H_
