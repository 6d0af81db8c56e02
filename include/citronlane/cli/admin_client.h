#ifndef CITRONLANE_CLI_ADMIN_CLIENT_H_
#define CITRONLANE_CLI_ADMIN_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/cli/admin_options.h"
#include "citronlane/cli/admin_reply.h"

namespace citronlane {

/// Calls the administration API: tries each control VM in turn, follows the
/// pointer to the leader, waits while there is none, until the timeout. Every
/// call may be sent more than once, so changes carry a change id. Not thread
/// safe.
class AdminClient {
 public:
  explicit AdminClient(AdminOptions options);

  /// Returns the first answer that is neither 503 nor a pointer, or nothing
  /// and the last reason. Precondition: `path` starts with '/'.
  std::optional<AdminReply> Get(const std::string& path, Error* error);
  std::optional<AdminReply> Post(const std::string& path,
                                 const JsonValue& body,
                                 Error* error);

 private:
  using Deadline = std::chrono::steady_clock::time_point;

  std::optional<AdminReply> Call(const std::string& path,
                                 const std::optional<std::string>& body,
                                 Error* error);
  std::optional<AdminReply> Try(std::string address,
                                const std::string& path,
                                const std::optional<std::string>& body,
                                Deadline deadline,
                                Error* error) const;

  const AdminOptions options_;
  std::string key_;
  /// Answered last; tried first.
  std::string preferred_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_CLIENT_H_
