#ifndef CITRONLANE_CONTROL_DETAIL_ADMIN_REPLIES_H_
#define CITRONLANE_CONTROL_DETAIL_ADMIN_REPLIES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/json/fault.h"
#include "citronlane/json/value.h"
#include "citronlane/transport/admin_response.h"

namespace citronlane {

/// HTTP statuses that the administration API uses.
enum class AdminStatus {
  kOk = 200,
  kRedirect = 307,
  kBadRequest = 400,
  kUnauthorized = 401,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kTooLarge = 413,
  kUnprocessable = 422,
  kTooMany = 429,
  kUnavailable = 503,
};

/// Returns a number as JSON. Thread safe, as all of these.
JsonValue JsonNumber(uint64_t number);

/// Returns an answer with a JSON body.
AdminResponse JsonReply(const JsonValue& body);

/// Returns an error as application/problem+json. `members` is an object whose
/// members go with it.
AdminResponse ProblemReply(AdminStatus status,
                           std::string_view detail,
                           const JsonValue& members = JsonValue::Object());

/// Returns the answer to a call that found no leader or no quorum.
AdminResponse UnavailableReply(std::string_view detail);

/// Returns faults as a JSON array.
JsonValue FaultList(const std::vector<Fault>& faults);

/// Returns the answer to a call whose body has faults.
AdminResponse BadBody(const std::vector<Fault>& faults);

/// Returns a member of a query such as "version=7", or nothing when it is
/// absent or no whole number.
std::optional<uint64_t> QueryNumber(std::string_view query,
                                    std::string_view name);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_ADMIN_REPLIES_H_
