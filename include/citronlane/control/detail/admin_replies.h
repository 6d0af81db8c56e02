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

/// Returns a number as JSON. Thread safe, as are all functions here.
JsonValue JsonNumber(uint64_t number);

/// Returns a response with a JSON body.
AdminResponse JsonReply(const JsonValue& body);

/// Returns an error as application/problem+json. The members of the object
/// `members` are added to the body.
AdminResponse ProblemReply(AdminStatus status,
                           std::string_view detail,
                           const JsonValue& members = JsonValue::Object());

/// Returns the response to a call that found no leader or no quorum.
AdminResponse UnavailableReply(std::string_view detail);

/// Returns validation errors as a JSON array.
JsonValue FaultList(const std::vector<Fault>& faults);

/// Returns the response to a call whose body has validation errors.
AdminResponse BadBody(const std::vector<Fault>& faults);

/// Returns a parameter of a query such as "version=7", or nullopt when it is
/// absent or not a non-negative integer.
std::optional<uint64_t> QueryNumber(std::string_view query,
                                    std::string_view name);

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_ADMIN_REPLIES_H_
