#include "citronlane/transport/stage_token_reader.h"

#include <cmath>
#include <optional>
#include <utility>

#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDoneText = "[DONE]";
constexpr double kMaxTokenOffset = 1e9;

/// Returns the token of one event, or nothing if the event is malformed.
std::optional<Token> ReadToken(std::string_view data) {
  Fault fault;
  const auto event = ParseJson(data, &fault);
  if (!event) {
    return std::nullopt;
  }
  const JsonValue* offset = event->Find("offset");
  const JsonValue* choices = event->Find("choices");
  if (offset == nullptr || !offset->IsNumber() || choices == nullptr ||
      !choices->IsArray() || choices->items().size() != 1) {
    return std::nullopt;
  }
  const double number = offset->AsNumber();
  const JsonValue& choice = choices->items().front();
  const JsonValue* text = choice.Find("text");
  if (number < 0 || number > kMaxTokenOffset || number != std::floor(number) ||
      text == nullptr || !text->IsString()) {
    return std::nullopt;
  }
  Token token;
  token.offset_ = static_cast<uint64_t>(number);
  token.text_ = text->AsString();
  const JsonValue* finish = choice.Find("finish_reason");
  if (finish != nullptr && finish->IsString()) {
    token.finish_reason_ = finish->AsString();
  }
  return token;
}

}  // namespace

StageTokenReader::StageTokenReader(size_t max_event_bytes, TokenHook on_token)
    : max_event_bytes_(max_event_bytes), on_token_(std::move(on_token)) {}

bool StageTokenReader::Feed(std::string_view fragment) {
  pending_.append(fragment);
  size_t begin = 0;
  for (size_t end = pending_.find('\n'); end != std::string::npos;
       end = pending_.find('\n', begin)) {
    std::string_view line(pending_.data() + begin, end - begin);
    begin = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (!ReadLine(line)) {
      return false;
    }
  }
  pending_.erase(0, begin);
  return pending_.size() <= max_event_bytes_;
}

bool StageTokenReader::ReadLine(std::string_view line) {
  if (line.substr(0, kDataField.size()) != kDataField) {
    // Blank lines, comments and other fields carry no tokens.
    return true;
  }
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return ReadEvent(line);
}

bool StageTokenReader::ReadEvent(std::string_view data) {
  if (done_) {
    return false;
  }
  if (data == kDoneText) {
    done_ = true;
    return true;
  }
  const std::optional<Token> token = ReadToken(data);
  return token && on_token_(*token);
}

}  // namespace citronlane
