#ifndef CITRONLANE_SETTINGS_DETAIL_SHARED_SETTINGS_H_
#define CITRONLANE_SETTINGS_DETAIL_SHARED_SETTINGS_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/json/object_reader.h"
#include "citronlane/observe/log_options.h"
#include "citronlane/transport/tls_files.h"

namespace citronlane::detail {

/// Parses the text and reads its section `name` by `read` and its section "log"
/// into `log`. Returns whether there was no validation error; replaces the
/// content of `faults` by the errors in document order. Thread safe.
bool ReadSettings(std::string_view text,
                  std::string_view name,
                  const std::string& path,
                  const std::function<void(ObjectReader&)>& read,
                  LogOptions* log,
                  std::vector<Fault>* faults);

/// Reads the optional member `key`, an object {"certificate", "private_key",
/// "ca"}, and checks that the files can be used. `need_ca` is kRequired when
/// the certificates of peers are verified. `path` is the settings file. Thread
/// safe for different readers.
void ReadTls(std::string_view key,
             ObjectReader::Need need_ca,
             const std::string& path,
             ObjectReader& reader,
             TlsFiles* tls);

}  // namespace citronlane::detail

#endif  // CITRONLANE_SETTINGS_DETAIL_SHARED_SETTINGS_H_
