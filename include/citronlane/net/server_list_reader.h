#ifndef CITRONLANE_NET_SERVER_LIST_READER_H_
#define CITRONLANE_NET_SERVER_LIST_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/serving/backend_server.h"

namespace citronlane {

class StageCall;
class StageClient;
struct Dialect;

/// Reads the platform's list of backend servers, page by page. All calls and
/// hooks run on the event loop's thread.
class ServerListReader {
 public:
  /// Gets the full list, or `std::nullopt` and the reason.
  using Done =
      std::function<void(std::optional<std::vector<BackendServer>> servers,
                         const Error& error)>;

  /// `client` and `dialect` must outlive the reader; `address` is "IP:port".
  ServerListReader(StageClient* client,
                   const Dialect* dialect,
                   std::string address);
  ~ServerListReader();
  ServerListReader(const ServerListReader&) = delete;
  ServerListReader& operator=(const ServerListReader&) = delete;

  /// Starts to read. Does nothing while another read is in progress; `done` is
  /// then not called. Otherwise it is called once, later, unless the reader is
  /// destroyed before. After 200 pages the pages read so far count as the
  /// complete list. Fails when the pages exceed 8 MiB.
  void Read(Done done);

  bool is_reading() const { return call_ != nullptr; }
  /// Number of pages of the last complete list; 1 before the first one.
  size_t pages() const { return pages_; }
  /// Number of entries of the last complete list that were skipped because they
  /// did not describe a usable server.
  size_t unusable() const { return unusable_; }
  /// Number of servers of the last complete list whose cold time can't be read.
  size_t invalid_cold_times() const { return invalid_cold_times_; }

 private:
  void ReadPage(const std::string& page);
  void HandlePage(int status, const std::string& body);
  void Fail(const Error& error);

  StageClient* const client_;
  const Dialect* const dialect_;
  const std::string address_;
  Done done_;
  std::shared_ptr<StageCall> call_;
  std::vector<BackendServer> servers_;
  size_t pages_read_ = 0;
  size_t bytes_read_ = 0;
  size_t pages_ = 1;
  size_t unusable_read_ = 0;
  size_t unusable_ = 0;
  size_t invalid_cold_times_read_ = 0;
  size_t invalid_cold_times_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_NET_SERVER_LIST_READER_H_
