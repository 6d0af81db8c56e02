#ifndef CITRONLANE_TESTS_FAKES_CONNECTION_H_
#define CITRONLANE_TESTS_FAKES_CONNECTION_H_

#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "fakes/fake_server.h"

namespace citronlane::fakes {

/// One connection to a FakeServer. Runs on one strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<FakeServer> server,
             boost::asio::ip::tcp::socket socket);

  /// Serves calls until the peer or a fault ends the connection.
  void Start();
  using Yield = boost::asio::yield_context;
  /// Closes the socket; it is closed on return. From any thread.
  void Close(const Yield& yield);

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Plan = FakeServer::Plan;

  void Run(const Yield& yield);
  /// These return whether the connection stays open.
  bool Answer(const Request& request, const Yield& yield);
  bool AnswerList(const Yield& yield);
  bool AnswerOrder(const Json& body, RunRecord record, const Yield& yield);
  bool AnswerOnce(const Request& request,
                  const Json& body,
                  const Plan& plan,
                  RunRecord record,
                  const Yield& yield);
  bool AnswerEngine(const Json& body,
                    const Plan& plan,
                    RunRecord record,
                    const Yield& yield);
  bool StreamTokens(const std::string& question,
                    const Json& body,
                    const Plan& plan,
                    RunRecord record,
                    const Yield& yield);
  std::string ReplyHeaders();
  bool Reply(unsigned status, std::string_view body, const Yield& yield);
  bool WriteText(std::string_view text, const Yield& yield);
  void Sleep(int64_t microseconds, const Yield& yield);
  void WaitWhileHeld(size_t token, const Yield& yield);

  const std::shared_ptr<FakeServer> server_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  /// Echoed by replies.
  std::string attempt_;
  bool draining_ = false;
  bool closed_ = false;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_CONNECTION_H_
