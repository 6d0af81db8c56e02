#include "fakes/connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <sstream>
#include <utility>

#include "fakes/answers.h"
#include "fakes/content.h"

namespace citronlane::fakes {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;

constexpr uint64_t kBodyLimit = 8U << 20U;
constexpr int64_t kHoldPollUs = 2000;
constexpr int64_t kManyTokens = 1U << 20U;
constexpr int64_t kUsPerMs = 1000;
constexpr size_t kOversizeBytes = 64U << 20U;
// Id and text of a reply that belongs to the attempt of another request.
constexpr char kOtherAttempt[] = "another-1-1/0/1";
constexpr char kOtherText[] = "text of another request";
constexpr char kAttemptHeader[] = "X-Attempt-Id";

std::string Header(const http::request<http::string_body>& request,
                   std::string_view name) {
  const auto value = request[beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

Json OtherCall() {
  Json body(rapidjson::kObjectType);
  for (const char* name : {"input", "query"}) {
    body.AddMember(rapidjson::StringRef(name), rapidjson::StringRef(kOtherText),
                   body.GetAllocator());
  }
  return body;
}

std::string TokenEvent(std::string_view question,
                       size_t index,
                       const char* finish) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("offset");
  writer.Uint64(index);
  writer.Key("choices");
  writer.StartArray();
  writer.StartObject();
  writer.Key("index");
  writer.Int(0);
  writer.Key("text");
  Write(&writer, TokenOf(question, index));
  writer.Key("finish_reason");
  finish == nullptr ? writer.Null() : writer.String(finish);
  writer.EndObject();
  writer.EndArray();
  writer.EndObject();
  return "data: " + std::string(buffer.GetString()) + "\n\n";
}

std::string_view ReasonOf(unsigned status) {
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  return {reason.data(), reason.size()};
}

std::string Chunk(std::string_view text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

}  // namespace

Connection::Connection(std::shared_ptr<FakeServer> server,
                       asio::ip::tcp::socket socket)
    : server_(std::move(server)), stream_(std::move(socket)) {}

void Connection::Start() {
  asio::spawn(stream_.get_executor(),
              [self = shared_from_this()](const Yield& yield) {
                self->Run(yield);
                self->server_->Remove(self);
              });
}

void Connection::Close(const Yield& yield) {
  asio::post(stream_.get_executor(), [self = shared_from_this()] {
    self->closed_ = true;
    self->stream_.close();
  });
  // The strand runs handlers in order, so this one resumes after the close.
  asio::post(stream_.get_executor(), yield);
}

void Connection::Run(const Yield& yield) {
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    beast::error_code error;
    http::async_read(stream_, buffer_, parser, yield[error]);
    if (error || closed_ || !HandleCall(parser.get(), yield)) {
      break;
    }
  }
  stream_.close();
}

bool Connection::HandleCall(const Request& request, const Yield& yield) {
  attempt_ = Header(request, kAttemptHeader);
  draining_ = false;
  if (server_->spec().kind_ == "platform") {
    return ReplyWithList(yield);
  }
  Json body;
  body.Parse(request.body().data(), request.body().size());
  if (body.HasParseError() || !body.IsObject()) {
    body.SetObject();
  }
  RunRecord record;
  record.attempt_ = attempt_;
  record.idempotency_key_ = Header(request, "Idempotency-Key");
  const std::string text = TextOf(server_->spec().kind_, body, request.body());
  record.text_ = Digest(text, "text", 0);
  if (request.target() == "/v1/orders") {
    return HandleOrder(body, std::move(record), yield);
  }
  const Plan plan = server_->NextPlan();
  draining_ = plan.drain_;
  if (plan.drain_ || plan.reject_ || plan.close_before_run_) {
    server_->EndRecord(server_->AddRecord(record), 0, false);
    return !plan.close_before_run_ && Reply(503, "{}", yield);
  }
  record.ran_ = true;
  record.mixed_ = IsMixed(server_->spec().kind_, body);
  if (server_->spec().kind_ == "engine") {
    return HandleEngineCall(body, plan, std::move(record), yield);
  }
  return HandlePlainCall(request, body, plan, std::move(record), yield);
}

bool Connection::ReplyWithList(const Yield& yield) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  server_->WriteList(&writer);
  return Reply(200, buffer.GetString(), yield);
}

bool Connection::HandleOrder(const Json& body,
                             RunRecord record,
                             const Yield& yield) {
  record.mode_ = "order";
  record.ran_ = server_->AcceptOrder(NumberAt(body, "fencing", 0));
  const unsigned status = record.ran_ ? 200 : 409;
  const size_t index = server_->AddRecord(std::move(record));
  const bool open = Reply(status, "{}", yield);
  server_->EndRecord(index, 0, open);
  return open;
}

bool Connection::HandlePlainCall(const Request& request,
                                 const Json& body,
                                 const Plan& plan,
                                 RunRecord record,
                                 const Yield& yield) {
  const size_t index = server_->AddRecord(std::move(record));
  Sleep(plan.slow_ms_ * kUsPerMs, yield);
  WaitWhileHeld(0, yield);
  if (plan.close_after_read_ || closed_) {
    server_->EndRecord(index, 0, false);
    return false;
  }
  const Json other = OtherCall();
  std::string answer = plan.wrong_id_
                           ? ReplyBody(server_->spec(), other, kOtherText)
                           : ReplyBody(server_->spec(), body, request.body());
  if (plan.garbage_) {
    answer = "{\"data\": [";
  } else if (plan.oversize_) {
    answer.assign(kOversizeBytes, ' ');
  }
  if (plan.wrong_id_) {
    attempt_ = kOtherAttempt;
  }
  const bool open = Reply(plan.fail_ ? 500 : 200, answer, yield);
  server_->EndRecord(index, 0, open);
  return open;
}

bool Connection::HandleEngineCall(const Json& body,
                                  const Plan& plan,
                                  RunRecord record,
                                  const Yield& yield) {
  std::string question = QuestionOf(StringAt(body, "prompt"));
  if (const auto resume = body.FindMember("resume");
      resume != body.MemberEnd() && resume->value.IsObject()) {
    record.mode_ = "resume";
    record.from_token_ = NumberAt(resume->value, "offset", 0);
    const auto known = server_->FindStream(StringAt(resume->value, "id"));
    if (!known) {
      record.ran_ = false;
      server_->EndRecord(server_->AddRecord(std::move(record)), 0, false);
      return Reply(404, "{}", yield);
    }
    question = *known;
    record.text_ = Digest(question, "text", 0);
  } else if (const auto rest = body.FindMember("continue_from");
             rest != body.MemberEnd() && rest->value.IsObject()) {
    record.mode_ = "continue";
    record.from_token_ = NumberAt(rest->value, "offset", 0);
    record.mixed_ = record.mixed_ || StringAt(rest->value, "text") !=
                                         TokensOf(question, record.from_token_);
  }
  if (plan.fail_ || plan.close_after_read_ || plan.garbage_) {
    server_->EndRecord(server_->AddRecord(std::move(record)), 0, false);
    return !plan.close_after_read_ &&
           Reply(plan.fail_ ? 500 : 200, "{\"cho", yield);
  }
  server_->StoreStream(attempt_, question);
  if (plan.wrong_id_) {
    attempt_ = kOtherAttempt;
    question = kOtherText;
  }
  return StreamTokens(question, body, plan, std::move(record), yield);
}

bool Connection::StreamTokens(const std::string& question,
                              const Json& body,
                              const Plan& plan,
                              RunRecord record,
                              const Yield& yield) {
  const auto limit =
      static_cast<size_t>(NumberAt(body, "max_tokens", kManyTokens));
  const size_t end = std::min(limit, server_->spec().tokens_);
  const char* finish = end < server_->spec().tokens_ ? "length" : "stop";
  size_t token = record.from_token_;
  const size_t index = server_->AddRecord(std::move(record));
  Sleep(plan.slow_ms_ * kUsPerMs, yield);
  bool open = WriteText(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n" +
          ReplyHeaders() + "\r\n",
      yield);
  std::string pending;
  for (; open && token < end; ++token) {
    if (plan.cut_at_ == token) {
      WriteText(pending, yield);
      server_->EndRecord(index, token, false);
      return false;
    }
    if (server_->IsHeld(token)) {
      open = WriteText(pending, yield);
      pending.clear();
      WaitWhileHeld(token, yield);
    }
    pending +=
        Chunk(TokenEvent(question, token, token + 1 == end ? finish : nullptr));
    if (plan.pace_us_ > 0) {
      open = WriteText(pending, yield);
      pending.clear();
      Sleep(plan.pace_us_, yield);
    }
    open = open && !closed_;
  }
  open =
      open && WriteText(pending + Chunk("data: [DONE]\n\n") + Chunk(""), yield);
  server_->EndRecord(index, token, open);
  return open;
}

std::string Connection::ReplyHeaders() {
  std::string headers = std::string(kAttemptHeader) + ": " + attempt_ + "\r\n";
  if (draining_) {
    headers += "X-Draining: 1\r\n";
  }
  if (server_->spec().reports_load_) {
    headers += "X-Load: " + std::to_string(server_->queued()) +
               "\r\nX-Load-Age-Ms: 0\r\n";
  }
  return headers;
}

bool Connection::Reply(unsigned status,
                       std::string_view body,
                       const Yield& yield) {
  std::string reply = "HTTP/1.1 " + std::to_string(status) + " " +
                      std::string(ReasonOf(status)) +
                      "\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n" + ReplyHeaders() +
                      "\r\n";
  return WriteText(reply.append(body), yield);
}

bool Connection::WriteText(std::string_view text, const Yield& yield) {
  beast::error_code error;
  asio::async_write(stream_, asio::buffer(text.data(), text.size()),
                    yield[error]);
  return !error;
}

void Connection::Sleep(int64_t microseconds, const Yield& yield) {
  if (microseconds <= 0) {
    return;
  }
  asio::steady_timer timer(stream_.get_executor(),
                           std::chrono::microseconds(microseconds));
  beast::error_code ignored;
  timer.async_wait(yield[ignored]);
}

void Connection::WaitWhileHeld(size_t token, const Yield& yield) {
  while (!closed_ && server_->IsHeld(token)) {
    Sleep(kHoldPollUs, yield);
  }
}

}  // namespace citronlane::fakes
