#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Every whole number up to this one is represented exactly by a double.
constexpr double kLargestExactInteger = 9007199254740992.0;

void WriteNumber(double number, Writer* writer) {
  if (!std::isfinite(number)) {
    writer->Null();
  } else if (std::trunc(number) == number &&
             std::abs(number) <= kLargestExactInteger) {
    writer->Int64(static_cast<int64_t>(number));
  } else {
    writer->Double(number);
  }
}

void WriteText(std::string_view text, Writer* writer) {
  writer->String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void WriteValue(const JsonValue& value, Writer* writer) {
  switch (value.type()) {
    case JsonValue::Type::kNull:
      writer->Null();
      break;
    case JsonValue::Type::kBool:
      writer->Bool(value.AsBool());
      break;
    case JsonValue::Type::kNumber:
      WriteNumber(value.AsNumber(), writer);
      break;
    case JsonValue::Type::kString:
      WriteText(value.AsString(), writer);
      break;
    case JsonValue::Type::kArray:
      writer->StartArray();
      for (const JsonValue& item : value.items()) {
        WriteValue(item, writer);
      }
      writer->EndArray();
      break;
    case JsonValue::Type::kObject:
      writer->StartObject();
      for (const auto& [name, member] : value.members()) {
        WriteText(name, writer);
        WriteValue(member, writer);
      }
      writer->EndObject();
      break;
  }
}

}  // namespace

std::string WriteJson(const JsonValue& value) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  WriteValue(value, &writer);
  return std::string(buffer.GetString(), buffer.GetSize());
}

}  // namespace citronlane
