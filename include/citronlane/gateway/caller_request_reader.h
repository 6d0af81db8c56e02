#ifndef CITRONLANE_GATEWAY_CALLER_REQUEST_READER_H_
#define CITRONLANE_GATEWAY_CALLER_REQUEST_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "citronlane/base/refusal_reason.h"
#include "citronlane/gateway/caller_request.h"

namespace citronlane {

class ConfigView;
class JsonValue;
struct HttpRequest;
struct ServiceConfig;

/// Parses and validates one caller's request: headers, client account, route,
/// body, class and idempotency key. Not thread safe; use one per request.
class CallerRequestReader {
 public:
  /// Both must outlive the reader.
  CallerRequestReader(const HttpRequest& request, const ConfigView& view);

  /// Returns the request, or nothing if it is invalid; reason() and detail()
  /// are then set. Call once.
  std::optional<CallerRequest> Read();

  /// Why Read failed. Precondition: Read returned nothing.
  RefusalReason reason() const { return reason_; }
  /// Which part of the request is invalid; may be empty. Contains no text of
  /// the request, so that it can be logged.
  const std::string& detail() const { return detail_; }
  /// Names found before Read returned; empty if it failed earlier.
  const std::string& account() const { return account_; }
  const std::string& class_name() const { return class_name_; }
  const std::string& target() const { return target_; }

 private:
  bool Fail(RefusalReason reason, std::string detail);
  bool CheckHeaders();
  bool ReadAccount();
  bool ReadClass();
  bool ReadRoute();
  bool ReadPipelinePath(std::string_view name);
  bool ReadServicePath(std::string_view rest);
  bool ReadChatBody();
  bool ReadPipelineBody();
  bool ReadMessages(const JsonValue& messages);
  bool ReadOptions(const JsonValue& body);
  bool SelectPipeline(const std::string& name);
  void SelectServiceRoute(const ServiceConfig& service, std::string_view path);
  bool ReadIdempotency();

  const HttpRequest& http_;
  const ConfigView& view_;
  CallerRequest result_;
  RefusalReason reason_ = RefusalReason::kInternal;
  std::string detail_;
  std::string account_;
  std::string class_name_;
  std::string target_;
};

}  // namespace citronlane

#endif  // CITRONLANE_GATEWAY_CALLER_REQUEST_READER_H_
