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
/// POST /fault/<id> tells one what to do wrong, POST /fault/* all of them;
/// GET /record returns every call, POST /clear returns and forgets them.
/// Outlives the run of its context.
class Fleet {
 public:
  /// Starts the servers that the file lists; throws when a port is taken.
  Fleet(boost::asio::io_context* context, const JsonView& file);

  /// One line of JSON: {"control":port,"servers":{"<id>":port}}.
  std::string Ports() const;

 private:
  using Reply = std::pair<unsigned, std::string>;

  void Serve(const boost::asio::yield_context& yield);
  void Talk(boost::asio::ip::tcp::socket* socket,
            const boost::asio::yield_context& yield);
  Reply Answer(const std::string& target,
               const std::string& body,
               const boost::asio::yield_context& yield);
  bool Fault(const std::string& id,
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
