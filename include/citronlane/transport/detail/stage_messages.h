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

/// Returns the bytes of a call to a backend server. Thread safe, as all of
/// these.
std::string RequestText(const StageCallSpec& spec);

/// Returns what a reply's head says; whether the connection was kept is for
/// the caller to fill in.
StageReplyHead ReadHead(const StageReplyFields& reply);

/// Returns how long the server keeps the connection open without a call, by its
/// "Keep-Alive: timeout=SECONDS", less a part for the way there: a call that
/// crosses the server's close may have run. Nothing when it does not say.
std::optional<Duration> IdleLimit(const StageReplyFields& reply);

}  // namespace citronlane::detail

#endif  // CITRONLANE_TRANSPORT_DETAIL_STAGE_MESSAGES_H_
