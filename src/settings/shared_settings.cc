#include "citronlane/settings/detail/shared_settings.h"

#include <algorithm>
#include <array>
#include <optional>

#include "citronlane/json/parse.h"
#include "citronlane/settings/files.h"

namespace citronlane::detail {
namespace {

using Need = ObjectReader::Need;

// Must have the order of LogLevel.
constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warn",
                                                     "error"};
constexpr std::array<std::string_view, 2> kLayouts = {"text", "json"};

void ReadLog(const std::string& path, ObjectReader& reader, LogOptions* log) {
  std::string text;
  if (reader.Choice("level", Need::kOptional, kLevels, &text)) {
    log->level_ = static_cast<LogLevel>(
        std::find(kLevels.begin(), kLevels.end(), text) - kLevels.begin());
  }
  if (reader.Choice("layout", Need::kOptional, kLayouts, &text)) {
    log->layout_ =
        text == "json" ? LogOptions::Layout::kJson : LogOptions::Layout::kText;
  }
  if (reader.String("file", Need::kOptional, &text)) {
    log->file_ = ResolvePath(path, text);
  }
}

}  // namespace

bool ReadSettings(std::string_view text,
                  std::string_view name,
                  const std::string& path,
                  const std::function<void(ObjectReader&)>& read,
                  LogOptions* log,
                  std::vector<Fault>* faults) {
  faults->clear();
  const std::optional<JsonValue> root = ParseJsonCollecting(text, faults);
  if (root) {
    ObjectReader reader(*root, "", faults);
    reader.Object(name, Need::kRequired, read);
    reader.Object("log", Need::kOptional,
                  [&](ObjectReader& section) { ReadLog(path, section, log); });
    reader.Finish();
  }
  std::stable_sort(
      faults->begin(), faults->end(),
      [](const Fault& a, const Fault& b) { return a.line_ < b.line_; });
  return faults->empty();
}

void ReadTls(std::string_view key,
             Need need_ca,
             const std::string& path,
             ObjectReader& reader,
             TlsFiles* tls) {
  reader.Object(key, Need::kOptional, [&](ObjectReader& section) {
    const auto read_file = [&](std::string_view name, Need need,
                               std::string* out) {
      Error error;
      if (!section.String(name, need, out)) {
        return;
      }
      *out = ResolvePath(path, *out);
      const bool usable = name == "private_key"
                              ? CheckKeyFile(*out, &error)
                              : ReadFile(*out, &error).has_value();
      if (!usable) {
        section.AddFault(name, error.message_);
      }
    };
    read_file("certificate", Need::kRequired, &tls->certificate_);
    read_file("private_key", Need::kRequired, &tls->private_key_);
    read_file("ca", need_ca, &tls->ca_);
  });
}

}  // namespace citronlane::detail
