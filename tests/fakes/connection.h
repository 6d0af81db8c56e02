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

/// One connection to a FakeServer. Runs on its own strand.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<FakeServer> server,
             boost::asio::ip::tcp::socket socket);

  /// Serves calls until the peer or an injected fault ends the connection.
  void Start();
  using Yield = boost::asio::yield_context;
  /// Returns once the socket is closed. Thread safe.
  void Close(const Yield& yield);

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Plan = FakeServer::Plan;

  void Run(const Yield& yield);
  /// The functions from here to WriteText, but for ReplyHeaders, return whether
  /// the connection stays open.
  bool HandleCall(const Request& request, const Yield& yield);
  bool ReplyWithList(const Yield& yield);
  bool HandleOrder(const Json& body, RunRecord record, const Yield& yield);
  bool HandlePlainCall(const Request& request,
                       const Json& body,
                       const Plan& plan,
                       RunRecord record,
                       const Yield& yield);
  bool HandleEngineCall(const Json& body,
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
  /// Attempt id of the call, which the reply echoes.
  std::string attempt_;
  bool draining_ = false;
  bool closed_ = false;
};

}  // namespace citronlane::fakes

#endif  // CITRONLANE_TESTS_FAKES_CONNECTION_H_
