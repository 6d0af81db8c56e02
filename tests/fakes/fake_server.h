#ifndef CITRONLANE_TESTS_FAKES_FAKE_SERVER_H_
#define CITRONLANE_TESTS_FAKES_FAKE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/faults.h"
#include "fakes/json.h"
#include "fakes/run_record.h"
#include "fakes/server_spec.h"

namespace citronlane::fakes {

class Connection;

/// A fake backend server (or server of the platform's VM list) that replies by
/// its kind, injects faults on request, and records each call. Thread safe.
class FakeServer : public std::enable_shared_from_this<FakeServer> {
 public:
  /// Writes the platform's VM list.
  using ListHook = std::function<void(JsonWriter*)>;

  FakeServer(boost::asio::io_context* context, ServerSpec spec, ListHook list);

  /// Opens the port and accepts connections. Throws
  /// boost::system::system_error when the port can't be opened.
  void Start();
  /// Closes the port and all connections, as the end of a killed process does.
  /// They are closed when it returns.
  void Stop(const boost::asio::yield_context& yield);

  /// Applies the faults of a control call; see docs/design/proof.md.
  void Apply(const JsonView& order, const boost::asio::yield_context& yield);

  /// Writes the records as items of an array; removes them if `clear` is set.
  void WriteRecords(JsonWriter* writer, bool clear);
  /// Writes the VM list of the fleet.
  void WriteList(JsonWriter* writer) const { list_(writer); }
  /// Writes this server's entry of the VM list.
  void WriteState(JsonWriter* writer);

  uint16_t port() const { return port_; }
  const ServerSpec& spec() const { return spec_; }

 private:
  friend class Connection;

  /// Faults of one call.
  struct Plan {
    bool fail_ = false;
    bool reject_ = false;
    bool close_after_read_ = false;
    bool close_before_run_ = false;
    bool wrong_id_ = false;
    bool garbage_ = false;
    bool oversize_ = false;
    std::optional<size_t> cut_at_;
    bool drain_ = false;
    int64_t slow_ms_ = 0;
    int64_t pace_us_ = 0;
  };

  void Accept(boost::asio::ip::tcp::acceptor* acceptor,
              const boost::asio::yield_context& yield);
  /// Returns the faults of the next call and decrements their counts.
  Plan NextPlan();
  size_t AddRecord(RunRecord record);
  void EndRecord(size_t index, size_t to_token, bool answered);
  /// Whether replies have to wait at this token now.
  bool IsHeld(size_t token);
  /// Stores a stream so that it can be resumed by its attempt id.
  void StoreStream(const std::string& attempt, const std::string& question);
  /// Returns the question of the stream with that attempt id.
  std::optional<std::string> FindStream(const std::string& attempt);
  /// Returns false when this server checks fencing numbers and that of the
  /// order is lower than an earlier one.
  bool AcceptOrder(int64_t fencing);
  int64_t queued();
  bool listening();
  void Remove(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context* const context_;
  const ServerSpec spec_;
  const ListHook list_;
  uint16_t port_ = 0;

  std::mutex mutex_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  Faults faults_;
  std::optional<double> drain_time_;
  bool drain_ = false;
  bool listed_ = true;
  int64_t incarnation_ = 1;
  int64_t fencing_ = 0;
  int64_t queued_ = 0;
  std::vector<RunRecord> records_;
  size_t first_record_ = 0;
  std::map<std::string, std::string> streams_;
};

/// Returns the Unix time in seconds.
double Now();

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_FAKE_SERVER_H_
