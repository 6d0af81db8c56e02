#include "citronlane/relay/log_limit.h"

#include "absl/strings/str_cat.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/routing/server_limit.h"

namespace citronlane {

void LogLimit(EventLog* log,
              const ServerLimit& limit,
              std::string_view source) {
  log->Write("relay", "server limit changed",
             {{"server", limit.server_},
              {"per_second",
               limit.per_second_ ? absl::StrCat(*limit.per_second_) : "none"},
              {"source", source}});
}

}  // namespace citronlane
