#ifndef CITRONLANE_JSON_OBJECT_READER_H_
#define CITRONLANE_JSON_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "citronlane/base/time.h"
#include "citronlane/json/fault.h"
#include "citronlane/json/text_rules.h"
#include "citronlane/json/value.h"

namespace citronlane {

/// Reads the members of one JSON object by name and collects all validation
/// errors instead of stopping at the first: wrong type, out of range, missing,
/// and, in Finish(), unknown keys. A member that is absent or invalid leaves
/// the output unchanged; a list gets its valid items. The read methods return
/// whether they set the output or, if they take a hook, whether the member has
/// the required type. Not thread safe.
class ObjectReader {
 public:
  enum class Need { kOptional, kRequired };
  using EntryHook = std::function<void(const std::string& name, ObjectReader&)>;
  using ItemHook = std::function<void(size_t index, ObjectReader&)>;

  /// `value` and `faults` must outlive the reader; `path` is the path of
  /// `value` from the root. Reports a fault when `value` is not an object.
  ObjectReader(const JsonValue& value,
               std::string path,
               std::vector<Fault>* faults);
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;

  /// A string that is not empty.
  bool String(std::string_view key, Need need, std::string* out);
  /// One of the strings in `allowed`.
  bool Choice(std::string_view key,
              Need need,
              absl::Span<const std::string_view> allowed,
              std::string* out);
  /// 1 to 64 letters, digits, '.', '_' or '-'.
  bool Name(std::string_view key, Need need, std::string* out);
  /// An IPv4 or IPv6 address; host names are refused.
  bool IpAddress(std::string_view key, Need need, std::string* out);
  /// "IP:port", IPv6 in brackets.
  bool Endpoint(std::string_view key, Need need, std::string* out);
  bool Bool(std::string_view key, bool* out);
  /// A number from `low` to `high`.
  bool Number(std::string_view key,
              Need need,
              double low,
              double high,
              double* out);
  /// A whole number from `low` to `high`; both must fit `Integer`.
  template <typename Integer>
  bool Whole(std::string_view key,
             Need need,
             uint64_t low,
             uint64_t high,
             Integer* out) {
    double number = 0;
    if (!WholeNumber(key, need, low, high, &number)) {
      return false;
    }
    *out = static_cast<Integer>(number);
    return true;
  }
  /// A whole number of milliseconds from `low` to `high`.
  bool Milliseconds(std::string_view key,
                    Need need,
                    uint64_t low,
                    uint64_t high,
                    Duration* out);
  /// An array of strings that are not empty, without duplicates.
  bool Strings(std::string_view key, Need need, std::vector<std::string>* out);
  /// An array of "IP:port", without duplicates.
  bool Endpoints(std::string_view key,
                 Need need,
                 std::vector<std::string>* out);
  /// A nested object. Calls `read` with a reader for it, then Finish().
  bool Object(std::string_view key,
              Need need,
              const std::function<void(ObjectReader&)>& read);
  /// An object whose keys are names and whose members are objects. Calls `read`
  /// with a reader for each, then Finish().
  bool Entries(std::string_view key, Need need, const EntryHook& read);
  /// An array of `low` to `high` objects. Calls `read` with a reader for each,
  /// then Finish().
  bool Items(std::string_view key,
             Need need,
             size_t low,
             size_t high,
             const ItemHook& read);

  /// Reports every member that no read method named. To be called once, after
  /// all of them.
  void Finish();

  /// Reports a fault of this object's member `key`, or of the object itself
  /// when `key` is empty.
  void AddFault(std::string_view key, std::string message);

  /// Path of a member from the root.
  std::string PathOf(std::string_view key) const;
  /// Line of the member, or of the object when it is absent.
  int LineOf(std::string_view key) const;

 private:
  const JsonValue* GetMember(std::string_view key, Need need);
  const std::string* GetString(std::string_view key, Need need);
  bool StringList(std::string_view key,
                  Need need,
                  std::string_view rule,
                  const std::function<bool(std::string_view)>& is_allowed,
                  std::vector<std::string>* out);
  bool WholeNumber(std::string_view key,
                   Need need,
                   uint64_t low,
                   uint64_t high,
                   double* out);

  const JsonValue& value_;
  const std::string path_;
  std::vector<Fault>* const faults_;
  /// Keys that the read methods named.
  std::vector<std::string> known_keys_;
};

}  // namespace citronlane

#endif  // CITRONLANE_JSON_OBJECT_READER_H_
