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

/// Parses the text, reads the section `name` by `read`, and "log". Returns
/// whether there was no fault; faults are in document order.
bool ReadSettings(std::string_view text,
                  std::string_view name,
                  const std::string& path,
                  const std::function<void(ObjectReader&)>& read,
                  LogOptions* log,
                  std::vector<Fault>* faults);

/// Reads {"certificate", "private_key", "ca"} and checks the key file.
/// `need_ca` says whether the other side must show a certificate too.
void ReadTls(std::string_view key,
             ObjectReader::Need need_ca,
             const std::string& path,
             ObjectReader& reader,
             TlsFiles* tls);

}  // namespace citronlane::detail

#endif  // CITRONLANE_SETTINGS_DETAIL_SHARED_SETTINGS_H_
