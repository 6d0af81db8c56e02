#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "citronlane/json/object_reader.h"
#include "citronlane/json/parse.h"

namespace citronlane {
namespace {

// Returns a random value with at most `depth` levels of nesting.
rc::Gen<JsonValue> AnyValue(int depth) {
  auto leaf = rc::gen::oneOf(
      rc::gen::construct<JsonValue>(),
      rc::gen::map(rc::gen::arbitrary<bool>(), &JsonValue::Bool),
      rc::gen::map(rc::gen::arbitrary<double>(), &JsonValue::Number),
      rc::gen::map(rc::gen::arbitrary<int64_t>(),
                   [](int64_t number) {
                     return JsonValue::Number(static_cast<double>(number));
                   }),
      rc::gen::map(
          rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)),
          [](const std::string& text) { return JsonValue::String(text); }));
  if (depth == 0) {
    return leaf;
  }
  const auto child = rc::gen::lazy([depth] { return AnyValue(depth - 1); });
  const auto array =
      rc::gen::map(rc::gen::container<std::vector<JsonValue>>(child),
                   [](const std::vector<JsonValue>& items) {
                     JsonValue result = JsonValue::Array();
                     for (const JsonValue& item : items) {
                       result.Append(item);
                     }
                     return result;
                   });
  const auto names = rc::gen::elementOf(std::string("abcd"));
  const auto object =
      rc::gen::map(rc::gen::container<std::vector<std::pair<char, JsonValue>>>(
                       rc::gen::pair(names, child)),
                   [](const std::vector<std::pair<char, JsonValue>>& members) {
                     JsonValue result = JsonValue::Object();
                     for (const auto& [name, value] : members) {
                       result.Set(std::string(1, name), value);
                     }
                     return result;
                   });
  return rc::gen::oneOf(leaf, array, object);
}

JsonValue Parsed(std::string_view text) {
  Fault fault;
  const std::optional<JsonValue> value = ParseJson(text, &fault);
  INFO(text << " line " << fault.line_ << ": " << fault.message_);
  REQUIRE(value);
  return *value;
}

std::string Patched(std::string_view target, std::string_view patch) {
  JsonValue value = Parsed(target);
  ApplyMergePatch(Parsed(patch), &value);
  return WriteJson(value);
}

}  // namespace

TEST_CASE("json parse") {
  SECTION("keeps values, order, lines, and skips comments") {
    const JsonValue value = Parsed(
        "// head\n{\"b\": [1, 2.5,\n \"\\u0416\"], /* c\n */ \"a\": null}");
    CHECK(WriteJson(value) == "{\"b\":[1,2.5,\"\u0416\"],\"a\":null}");
    CHECK(value.line() == 2);
    CHECK(value.Find("b")->items()[2].line() == 3);
    CHECK(value.Find("a")->line() == 4);
  }
  SECTION("refuses invalid JSON with the line and the path") {
    struct Row {
      std::string text_;
      int line_;
      std::string path_;
      std::string message_;
    };
    const std::string deep(kMaxJsonDepth + 1, '[');
    const std::vector<Row> rows = {
        {"", 1, "", "empty"},
        {"{\"a\":\n{\"b\":}}", 2, "a.b", "Invalid value"},
        {"[1,\n2", 2, "[2]", "array"},
        {"{\"a\":1,\n\"a\":2}", 2, "a", "duplicate name"},
        {"\"\xff\"", 1, "", "encoding"},
        {deep, 1, "", "nested too deeply"},
        {"1e999", 1, "", "too big"},
        {"{} {}", 1, "", "root"},
        {std::string("{}\0{}", 5), 1, "", "NUL"},
        {"/* open", 1, "", "syntax error"},
        {"NaN", 1, "", "Invalid value"},
    };
    for (const Row& row : rows) {
      Fault fault;
      INFO(row.text_ << " gives " << fault.message_);
      CHECK_FALSE(ParseJson(row.text_, &fault));
      CHECK(fault.line_ == row.line_);
      CHECK_THAT(fault.message_, Catch::Contains(row.message_));
      if (row.text_ != deep) {
        CHECK(fault.path_ == row.path_);
      }
    }
  }
  SECTION("finds duplicates in large objects and reports all of them") {
    std::string text = "{";
    for (int i = 0; i < 40; ++i) {
      text += "\"k" + std::to_string(i) + "\":0,\n";
    }
    std::vector<Fault> faults;
    CHECK(ParseJsonCollecting(text + "\"k39\":1,\n\"k3\":2}", &faults));
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].line_ == 41);
    CHECK(faults[1].path_ == "k3");
  }
  SECTION("bounds the number of values") {
    std::string text = "[0";
    for (int i = 0; i < kMaxJsonValues; ++i) {
      text += ",0";
    }
    Fault fault;
    CHECK_FALSE(ParseJson(text + "]", &fault));
    CHECK_THAT(fault.message_, Catch::Contains("too many values"));
  }
}

TEST_CASE("json write") {
  SECTION("parsing the written text returns the same value") {
    CHECK(rc::check([] {
      const std::string text = WriteJson(*AnyValue(1));
      RC_ASSERT(WriteJson(Parsed(text)) == text);
    }));
  }
  SECTION("numbers are kept exactly") {
    CHECK(rc::check([](double number) {
      const std::string text = WriteJson(JsonValue::Number(number));
      RC_ASSERT(Parsed(text).AsNumber() == number);
    }));
  }
}

TEST_CASE("json merge patch") {
  SECTION("follows the examples of RFC 7396") {
    CHECK(Patched(R"({"a":"b"})", R"({"a":"c"})") == R"({"a":"c"})");
    CHECK(Patched(R"({"a":"b"})", R"({"b":"c"})") == R"({"a":"b","b":"c"})");
    CHECK(Patched(R"({"a":"b","b":"c"})", R"({"a":null})") == R"({"b":"c"})");
    CHECK(Patched(R"({"a":["b"]})", R"({"a":"c"})") == R"({"a":"c"})");
    CHECK(Patched(R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})") ==
          R"({"a":{"b":"d"}})");
    CHECK(Patched(R"({"a":"foo"})", "null") == "null");
    CHECK(Patched(R"({"e":null})", R"({"a":1})") == R"({"e":null,"a":1})");
    CHECK(Patched("[1,2]", R"({"a":"b","c":null})") == R"({"a":"b"})");
    CHECK(Patched("{}", R"({"a":{"bb":{"ccc":null}}})") ==
          R"({"a":{"bb":{}}})");
  }
  SECTION("is idempotent") {
    CHECK(rc::check([] {
      JsonValue once = *AnyValue(2);
      const JsonValue patch = *AnyValue(2);
      ApplyMergePatch(patch, &once);
      JsonValue twice = once;
      ApplyMergePatch(patch, &twice);
      RC_ASSERT(WriteJson(twice) == WriteJson(once));
    }));
  }
  SECTION("an empty object changes no object") {
    CHECK(rc::check([] {
      JsonValue target = JsonValue::Object();
      target.Set("x", *AnyValue(1));
      const std::string before = WriteJson(target);
      ApplyMergePatch(JsonValue::Object(), &target);
      RC_ASSERT(WriteJson(target) == before);
    }));
  }
}

TEST_CASE("json addresses") {
  SECTION("are numeric IP addresses only") {
    for (const char* good : {"127.0.0.1", "::1", "10.20.30.40"}) {
      CHECK(IsIpAddress(good));
    }
    for (const char* bad : {"", "localhost", "1.2.3", "1.2.3.4.5", "1.2.3.4:5",
                            "256.0.0.1", "[::1]"}) {
      CHECK_FALSE(IsIpAddress(bad));
    }
    CHECK_FALSE(IsIpAddress(std::string_view("1.2.3.4\0x", 9)));
  }
  SECTION("with port need brackets for IPv6") {
    const JsonValue root = Parsed(
        R"({"a":"1.2.3.4:5","b":"[::1]:65535","c":"::1:80","d":"h:1",)"
        R"("e":"1.2.3.4:0","f":"1.2.3.4:65536","g":"1.2.3.4","h":"[1.2.3.4]:5"})");
    std::vector<Fault> faults;
    ObjectReader reader(root, "", &faults);
    std::string out;
    for (const char* good : {"a", "b"}) {
      CHECK(reader.Endpoint(good, ObjectReader::Need::kRequired, &out));
    }
    for (const char* bad : {"c", "d", "e", "f", "g", "h"}) {
      CHECK_FALSE(reader.Endpoint(bad, ObjectReader::Need::kRequired, &out));
    }
    CHECK(faults.size() == 6);
  }
}

}  // namespace citronlane
