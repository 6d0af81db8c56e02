#ifndef CITRONLANE_JSON_VALUE_H_
#define CITRONLANE_JSON_VALUE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronlane {

/// A JSON value with the line from which it was read. Members keep their order.
/// Const methods are thread safe as long as no other method is called.
class JsonValue {
 public:
  enum class Type { kNull, kBool, kNumber, kString, kArray, kObject };
  using Member = std::pair<std::string, JsonValue>;

  JsonValue() = default;
  static JsonValue Bool(bool value);
  static JsonValue Number(double value);
  static JsonValue String(std::string_view value);
  static JsonValue Array();
  static JsonValue Object();

  Type type() const { return type_; }
  bool IsNull() const { return type_ == Type::kNull; }
  bool IsBool() const { return type_ == Type::kBool; }
  bool IsNumber() const { return type_ == Type::kNumber; }
  bool IsString() const { return type_ == Type::kString; }
  bool IsArray() const { return type_ == Type::kArray; }
  bool IsObject() const { return type_ == Type::kObject; }

  /// Precondition for each: the value is of that type.
  bool AsBool() const { return bool_; }
  double AsNumber() const { return number_; }
  const std::string& AsString() const { return string_; }
  const std::vector<JsonValue>& items() const { return items_; }
  const std::vector<Member>& members() const { return members_; }

  /// Returns the member of that name, or null when this is not an object or has
  /// no such member.
  const JsonValue* Find(std::string_view name) const;

  /// Precondition: an object. Replaces a member of the same name.
  void Set(std::string_view name, JsonValue value);
  /// Precondition: an object without a member of that name.
  void AppendMember(std::string name, JsonValue value);
  /// Precondition: an object. Does nothing when there is no such member.
  void Remove(std::string_view name);
  /// Precondition: an array.
  void Append(JsonValue value);

  /// Line in the document, counted from 1; 0 when it was not parsed.
  int line() const { return line_; }
  void set_line(int line) { line_ = line; }

 private:
  Type type_ = Type::kNull;
  bool bool_ = false;
  double number_ = 0;
  int line_ = 0;
  std::string string_;
  std::vector<JsonValue> items_;
  std::vector<Member> members_;
};

}  // namespace citronlane

#endif  // CITRONLANE_JSON_VALUE_H_
