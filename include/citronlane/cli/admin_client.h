#ifndef CITRONLANE_CLI_ADMIN_CLIENT_H_
#define CITRONLANE_CLI_ADMIN_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>

#include "citronlane/base/error.h"
#include "citronlane/cli/admin_options.h"
#include "citronlane/cli/admin_reply.h"

namespace citronlane {

/// Client of the administration API. Tries the control VMs in turn, follows
/// redirects to the leader, and repeats this until the timeout while no VM can
/// serve the call. A call may be sent several times, so the body of a change
/// must have an id by which the server recognizes repetitions. Not thread safe.
class AdminClient {
 public:
  explicit AdminClient(AdminOptions options);

  /// Returns the first response whose status is neither 503 nor 307. Returns
  /// `std::nullopt` and sets `error` to the last failure when there is none
  /// before the timeout, or when the key file can't be read. Precondition:
  /// `path` starts with '/'.
  std::optional<AdminReply> Get(const std::string& path, Error* error);
  /// As Get, with a JSON body.
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
  /// Address whose try succeeded last, which is tried first.
  std::string preferred_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CLI_ADMIN_CLIENT_H_
