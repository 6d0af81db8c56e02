#include "citronlane/relay/limit_watch.h"

#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "citronlane/net/limit_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/serving/server_reply_head.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

std::string TextOf(std::optional<double> number) {
  return number ? absl::StrCat(*number) : "none";
}

}  // namespace

LimitWatch::LimitWatch(ServerLimits* limits, EventLog* log, Hooks hooks)
    : limits_(limits), log_(log), hooks_(std::move(hooks)) {}

void LimitWatch::OnReply(const std::string& server,
                         const ServerReplyHead& reply) {
  const TimePoint now = hooks_.now_();
  if (reply.leaving_) {
    OnLeaving(server);
  }
  if (reply.retry_after_seconds_) {
    if (const auto time =
            backoffs_.OnRefused(server, *reply.retry_after_seconds_, now)) {
      log_->Write("relay", "server backoff",
                  {{"server", server},
                   {"retry_after_s", absl::StrCat(*reply.retry_after_seconds_)},
                   {"for_ms", *time}});
    }
  }
  const ServerLimit limit{server, reply.max_per_second_, now,
                          reply.max_refusals_};
  if (!limits_->Observe(limit)) {
    return;
  }
  Log(limit, "reply");
  wire::fleet::ServerLimits changed;
  EncodeLimit(limit, now, changed.add_limits());
  hooks_.send_(changed);
}

void LimitWatch::Take(const ServerLimit& limit, std::string_view source) {
  if (limits_->Observe(limit)) {
    Log(limit, source);
  }
}

void LimitWatch::ReportAll() {
  const TimePoint now = hooks_.now_();
  wire::fleet::ServerLimits known;
  for (const ServerLimit& limit : limits_->RecordedSince(0)) {
    EncodeLimit(limit, now, known.add_limits());
  }
  if (known.limits_size() > 0) {
    hooks_.send_(known);
  }
}

void LimitWatch::Log(const ServerLimit& limit, std::string_view source) {
  log_->Write("relay", "server limit changed",
              {{"server", limit.server_},
               {"per_second", TextOf(limit.per_second_)},
               {"max_refusals", TextOf(limit.max_refusals_)},
               {"source", source},
               {"age_ms", hooks_.now_() - limit.at_}});
}

}  // namespace citronlane
