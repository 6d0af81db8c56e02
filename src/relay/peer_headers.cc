#include "citronlane/relay/peer_headers.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/base/text.h"
#include "citronlane/base/verdict.h"
#include "citronlane/net/fleet_codec.h"
#include "citronlane/relay/forwarded_headers.h"
#include "citronlane/relay/relay_responses.h"

namespace citronlane {
namespace {

constexpr std::string_view kAge = "Gateway-Peer-Age-Ms";
constexpr std::string_view kConfig = "Gateway-Peer-Config";
/// What was counted or sent before; one header for each.
constexpr std::string_view kBefore = "Gateway-Peer-Before";
constexpr std::string_view kCounted = "counted";
constexpr std::string_view kSentRequest = "request sent";
constexpr std::string_view kSentStages = "stages sent";
constexpr std::string_view kLeavingServer = "Gateway-Peer-Leaving";
constexpr std::string_view kRefusal = "Gateway-Peer-Refusal";

bool IsAdded(const HttpHeader& header) {
  return EqualsIgnoringCase(header.name_, kAge) ||
         EqualsIgnoringCase(header.name_, kConfig) ||
         EqualsIgnoringCase(header.name_, kBefore);
}

bool ParseNumber(std::string_view text, uint64_t* number) {
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, *number);
  return error == std::errc() && end == last;
}

}  // namespace

std::vector<HttpHeader> WritePeerHeaders(absl::Span<const HttpHeader> caller,
                                         const PeerRequestHead& head) {
  std::vector<HttpHeader> headers = ForwardedHeaders(caller);
  // A caller can't pretend to be a gateway.
  headers.erase(std::remove_if(headers.begin(), headers.end(), IsAdded),
                headers.end());
  headers.push_back(
      {std::string(kAge), std::to_string(InMilliseconds(head.age_))});
  headers.push_back(
      {std::string(kConfig), std::to_string(head.config_version_)});
  const auto add_before = [&headers](bool was_done, std::string_view what) {
    if (was_done) {
      headers.push_back({std::string(kBefore), std::string(what)});
    }
  };
  add_before(head.was_counted_, kCounted);
  add_before(head.was_sent_, kSentRequest);
  add_before(head.were_stages_sent_, kSentStages);
  return headers;
}

std::optional<PeerRequestHead> TakePeerHeaders(HttpRequest* request) {
  PeerRequestHead head;
  uint64_t age_ms = 0;
  const bool is_valid =
      request->CountHeader(kAge) == 1 && request->CountHeader(kConfig) == 1 &&
      ParseNumber(request->Header(kAge), &age_ms) &&
      ParseNumber(request->Header(kConfig), &head.config_version_);
  auto& headers = request->headers_;
  for (const HttpHeader& header : headers) {
    const bool is_before = EqualsIgnoringCase(header.name_, kBefore);
    head.was_counted_ |= is_before && header.value_ == kCounted;
    head.was_sent_ |= is_before && header.value_ == kSentRequest;
    head.were_stages_sent_ |= is_before && header.value_ == kSentStages;
  }
  headers.erase(std::remove_if(headers.begin(), headers.end(), IsAdded),
                headers.end());
  if (!is_valid) {
    return std::nullopt;
  }
  head.age_ = std::chrono::milliseconds(age_ms);
  return head;
}

HttpReply PeerRefusalReply() {
  HttpReply reply =
      RefusalReply(RefusalReason::kNoBackendServer, Verdict::kNotRun);
  reply.headers_.push_back({std::string(kRefusal), "1"});
  return reply;
}

void AddLeavingServer(std::string_view server, HttpReply* reply) {
  reply->headers_.push_back({std::string(kLeavingServer), std::string(server)});
}

std::string TakeLeavingServer(HttpReply* reply) {
  auto& headers = reply->headers_;
  const auto is_added = [](const HttpHeader& header) {
    return EqualsIgnoringCase(header.name_, kLeavingServer);
  };
  const auto found = std::find_if(headers.begin(), headers.end(), is_added);
  std::string server = found == headers.end() ? std::string() : found->value_;
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_added),
                headers.end());
  return server;
}

bool IsPeerRefusal(absl::Span<const HttpHeader> headers) {
  return std::any_of(headers.begin(), headers.end(),
                     [](const HttpHeader& header) {
                       return EqualsIgnoringCase(header.name_, kRefusal);
                     });
}

}  // namespace citronlane
