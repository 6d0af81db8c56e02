#include "citronlane/json/parse.h"

#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <unordered_set>
#include <utility>

namespace citronlane {
namespace {

// Duplicates are found by a hash set of the names in objects with at least this
// many members, and by linear search in smaller ones.
constexpr size_t kMinHashedMembers = 16;

// RapidJSON input stream over a string view that counts lines.
class LineStream {
 public:
  using Ch = char;

  explicit LineStream(std::string_view text) : text_(text) {}

  char Peek() const {
    return position_ < text_.size() ? text_[position_] : '\0';
  }
  char Take() {
    const char taken = Peek();
    line_ += taken == '\n' ? 1 : 0;
    position_ += position_ < text_.size() ? 1 : 0;
    return taken;
  }
  size_t Tell() const { return position_; }
  int line() const { return line_; }
  bool AtEnd() const { return position_ == text_.size(); }

  // Required by RapidJSON; called only by in-place parsing, which is not used.
  char* PutBegin() { return nullptr; }
  void Put(char) {}
  void Flush() {}
  size_t PutEnd(char*) { return 0; }

 private:
  const std::string_view text_;
  size_t position_ = 0;
  int line_ = 1;
};

// Builds a JsonValue from RapidJSON's events.
class Builder {
 public:
  Builder(const LineStream& stream, std::vector<Fault>* faults)
      : stream_(stream), faults_(faults) {}

  bool Null() { return Add(JsonValue()); }
  bool Bool(bool value) { return Add(JsonValue::Bool(value)); }
  bool Int(int value) { return Add(JsonValue::Number(value)); }
  bool Uint(unsigned value) { return Add(JsonValue::Number(value)); }
  bool Int64(int64_t value) {
    return Add(JsonValue::Number(static_cast<double>(value)));
  }
  bool Uint64(uint64_t value) {
    return Add(JsonValue::Number(static_cast<double>(value)));
  }
  bool Double(double value) { return Add(JsonValue::Number(value)); }
  bool RawNumber(const char*, rapidjson::SizeType, bool) { return false; }
  bool String(const char* text, rapidjson::SizeType size, bool) {
    return Add(JsonValue::String(std::string_view(text, size)));
  }
  bool StartObject() { return Open(JsonValue::Object()); }
  bool Key(const char* text, rapidjson::SizeType size, bool);
  bool EndObject(rapidjson::SizeType) { return Close(); }
  bool StartArray() { return Open(JsonValue::Array()); }
  bool EndArray(rapidjson::SizeType) { return Close(); }

  JsonValue TakeRoot() { return std::move(root_); }
  const std::string& stop_reason() const { return stop_reason_; }
  std::string Path() const;

 private:
  struct Frame {
    JsonValue value_;
    std::string key_;
    int key_line_ = 0;
    bool drop_ = false;
    std::unordered_set<std::string> names_;
  };

  bool Open(JsonValue container);
  bool Close();
  bool Add(JsonValue value);
  bool Count();
  bool IsDuplicate(Frame* frame) const;

  const LineStream& stream_;
  std::vector<Fault>* const faults_;
  std::vector<Frame> frames_;
  JsonValue root_;
  int values_ = 0;
  std::string stop_reason_;
};

bool Builder::Key(const char* text, rapidjson::SizeType size, bool) {
  Frame& frame = frames_.back();
  frame.key_.assign(text, size);
  frame.key_line_ = stream_.line();
  frame.drop_ = IsDuplicate(&frame);
  if (frame.drop_) {
    faults_->push_back({Path(), frame.key_line_,
                        "duplicate name; a name may appear once in an object"});
  }
  return true;
}

bool Builder::IsDuplicate(Frame* frame) const {
  if (frame->value_.members().size() < kMinHashedMembers) {
    return frame->value_.Find(frame->key_) != nullptr;
  }
  if (frame->names_.empty()) {
    for (const JsonValue::Member& member : frame->value_.members()) {
      frame->names_.insert(member.first);
    }
  }
  return !frame->names_.insert(frame->key_).second;
}

bool Builder::Open(JsonValue container) {
  if (frames_.size() >= static_cast<size_t>(kMaxJsonDepth)) {
    stop_reason_ =
        "nested too deeply; at most " + std::to_string(kMaxJsonDepth);
    return false;
  }
  if (!Count()) {
    return false;
  }
  container.set_line(stream_.line());
  Frame frame;
  frame.value_ = std::move(container);
  frames_.push_back(std::move(frame));
  return true;
}

bool Builder::Close() {
  JsonValue closed = std::move(frames_.back().value_);
  const int line = closed.line();
  frames_.pop_back();
  --values_;  // Open has counted the container already; Add does it again.
  const bool added = Add(std::move(closed));
  if (frames_.empty()) {
    root_.set_line(line);
  }
  return added;
}

bool Builder::Add(JsonValue value) {
  if (!Count()) {
    return false;
  }
  if (frames_.empty()) {
    value.set_line(stream_.line());
    root_ = std::move(value);
    return true;
  }
  Frame& frame = frames_.back();
  if (frame.value_.IsArray()) {
    if (value.line() == 0) {
      value.set_line(stream_.line());
    }
    frame.value_.Append(std::move(value));
  } else if (!frame.drop_) {
    value.set_line(frame.key_line_);
    frame.value_.AppendMember(std::move(frame.key_), std::move(value));
  }
  return true;
}

bool Builder::Count() {
  if (++values_ <= kMaxJsonValues) {
    return true;
  }
  stop_reason_ = "too many values; at most " + std::to_string(kMaxJsonValues);
  return false;
}

std::string Builder::Path() const {
  std::string path;
  for (const Frame& frame : frames_) {
    if (frame.value_.IsArray()) {
      path += "[" + std::to_string(frame.value_.items().size()) + "]";
    } else {
      path += (path.empty() ? "" : ".") + frame.key_;
    }
  }
  return path;
}

std::string SyntaxMessage(const Builder& builder,
                          const rapidjson::ParseResult& result) {
  if (!builder.stop_reason().empty()) {
    return builder.stop_reason();
  }
  return std::string("invalid JSON: ") +
         rapidjson::GetParseError_En(result.Code());
}

}  // namespace

std::optional<JsonValue> ParseJsonCollecting(std::string_view text,
                                             std::vector<Fault>* faults) {
  constexpr unsigned kFlags = rapidjson::kParseCommentsFlag |
                              rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseFullPrecisionFlag;
  LineStream stream(text);
  Builder builder(stream, faults);
  rapidjson::Reader reader;
  const auto result = reader.Parse<kFlags>(stream, builder);
  if (result.IsError()) {
    faults->push_back(
        {builder.Path(), stream.line(), SyntaxMessage(builder, result)});
    return std::nullopt;
  }
  if (!stream.AtEnd()) {
    faults->push_back({"", stream.line(), "invalid JSON: a NUL character"});
    return std::nullopt;
  }
  return builder.TakeRoot();
}

std::optional<JsonValue> ParseJson(std::string_view text, Fault* fault) {
  std::vector<Fault> faults;
  std::optional<JsonValue> value = ParseJsonCollecting(text, &faults);
  if (faults.empty()) {
    return value;
  }
  *fault = faults.front();
  return std::nullopt;
}

}  // namespace citronlane
