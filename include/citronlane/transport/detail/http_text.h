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

/// Returns the bytes of a whole reply; without the body for a HEAD request.
std::string WholeReplyText(const HttpReply& reply,
                           bool keep_alive,
                           bool head_request);

/// Returns the bytes of the head of a chunked reply.
std::string StreamHeadText(const HttpReply& head, bool keep_alive);

/// Whether bytes may follow the head of a reply: what comes behind one that has
/// no body is read as the start of the next reply.
bool MayHaveBody(int status, bool head_request);

/// Returns one chunk. Precondition: not empty.
std::string ChunkText(std::string_view bytes);

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_HTTP_TEXT_H_
