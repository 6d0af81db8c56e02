#ifndef CITRONLANE_TESTS_FAKES_FLEET_H_
#define CITRONLANE_TESTS_FAKES_FLEET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fakes/fake_server.h"

namespace citronlane::fakes {

/// All fake servers of a process and their control port:
/// POST /fault/<id or pool> injects faults into servers, POST /fault/* into all
/// of them; GET /record returns the records of all calls, POST /clear returns
/// and removes them. Must outlive the run of its context.
class Fleet {
 public:
  /// Starts the servers that the file lists. Throws
  /// boost::system::system_error when a port can't be opened.
  Fleet(boost::asio::io_context* context, const JsonView& file);

  /// Returns a line of JSON: {"control":port,"servers":{"<id>":port}}.
  std::string Ports() const;

 private:
  using Reply = std::pair<unsigned, std::string>;

  void Serve(const boost::asio::yield_context& yield);
  void ServeConnection(boost::asio::ip::tcp::socket* socket,
                       const boost::asio::yield_context& yield);
  Reply HandleRequest(const std::string& target,
                      const std::string& body,
                      const boost::asio::yield_context& yield);
  /// Returns false when no server has that id or pool, or the body is not a
  /// JSON object.
  bool InjectFault(const std::string& id,
                   const std::string& body,
                   const boost::asio::yield_context& yield);
  std::string Records(bool clear);
  void WriteList(JsonWriter* writer);

  boost::asio::io_context* const context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, std::shared_ptr<FakeServer>> servers_;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_FLEET_H_
