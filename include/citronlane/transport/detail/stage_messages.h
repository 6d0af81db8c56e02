#ifndef CITRONLANE_TRANSPORT_DETAIL_STAGE_MESSAGES_H_
#define CITRONLANE_TRANSPORT_DETAIL_STAGE_MESSAGES_H_

#include <optional>
#include <string>

#include <boost/beast/http/message.hpp>

#include "citronlane/base/time.h"
#include "citronlane/transport/stage_reply_head.h"

namespace citronlane {
struct StageCallSpec;
}  // namespace citronlane

namespace citronlane::detail {

using StageReplyFields = boost::beast::http::response_header<>;

/// Returns the head of the HTTP request for a call; its body follows. Thread
/// safe, as are the functions below.
std::string RequestHeadText(const StageCallSpec& spec);

/// Parses the head of a reply. reused_connection_ has to be set by the caller.
StageReplyHead ReadHead(const StageReplyFields& reply);

/// Returns how long the idle connection may be reused: the time in the server's
/// "Keep-Alive: timeout=SECONDS", less a margin for the network delay, because
/// a call that meets the server's close on its way may or may not have run.
/// Nothing without such a header.
std::optional<Duration> IdleLimit(const StageReplyFields& reply);

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_STAGE_MESSAGES_H_
