#ifndef CITRONLANE_TRANSPORT_DETAIL_REPLY_READING_H_
#define CITRONLANE_TRANSPORT_DETAIL_REPLY_READING_H_

#include <cstddef>
#include <vector>

#include <boost/asio/spawn.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "citronlane/base/time.h"
#include "citronlane/routing/call_outcome.h"

namespace citronlane::detail {

struct StageConnection;

/// Bytes that a connection reads ahead beside the head of a reply.
inline constexpr size_t kReadBufferBytes = size_t{16} * 1024;

/// Reads up to the end of a head, which fails if it is larger than
/// `max_head_bytes` as a whole. http::async_read_header bounds only what is
/// left to be parsed, which stays small if each field arrives with the start of
/// the next one.
void ReadHeader(StageConnection* connection,
                size_t max_head_bytes,
                boost::beast::http::basic_parser<false>* parser,
                const boost::asio::yield_context& yield,
                boost::system::error_code* error);

/// Reads a part of a body into `buffer`, from its start. Returns how many bytes
/// of it were filled.
size_t ReadSome(
    StageConnection* connection,
    boost::beast::http::response_parser<boost::beast::http::buffer_body>*
        parser,
    std::vector<char>* buffer,
    const boost::asio::yield_context& yield,
    boost::system::error_code* error);

/// Appends a part of a body to that of the parser. Returns by how many bytes it
/// has grown.
size_t ReadSome(
    StageConnection* connection,
    boost::beast::http::response_parser<boost::beast::http::string_body>*
        parser,
    const boost::asio::yield_context& yield,
    boost::system::error_code* error);

/// As ReadSome(), for a body that nobody needs.
size_t SkipSome(
    StageConnection* connection,
    boost::beast::http::response_parser<boost::beast::http::buffer_body>*
        parser,
    const boost::asio::yield_context& yield,
    boost::system::error_code* error);
size_t SkipSome(
    StageConnection* connection,
    boost::beast::http::response_parser<boost::beast::http::string_body>*
        parser,
    const boost::asio::yield_context& yield,
    boost::system::error_code* error);

/// After the end of a reply that has no length and so ends with its connection:
/// whether the peer ended it in order, and has taken the whole call. A peer
/// that ends its side and then resets the connection breaks its reply off, but
/// reading shows only the end. `has_body`: the call has a body, which may still
/// be on its way: waits for that until `deadline`, and a moment for a reset.
bool HasEndedInOrder(StageConnection* connection,
                     bool has_body,
                     TimePoint deadline,
                     const boost::asio::yield_context& yield);

/// Whether a final or interim status can be that of an HTTP reply. Nobody asks
/// servers to switch protocols.
bool IsReplyStatus(int status);

/// Returns the outcome of a call for an error that occurred after it was sent.
CallOutcome OutcomeOf(const boost::system::error_code& error);

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_REPLY_READING_H_
