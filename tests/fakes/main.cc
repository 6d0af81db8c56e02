#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "fakes/fleet.h"

namespace {

constexpr int kUsage = 2;

}  // namespace

/// citronlane_fakes FLEET.json [threads]: starts the fake servers of the file,
/// prints a line of JSON with their ports, and runs until SIGTERM.
int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: citronlane_fakes FLEET.json [threads]\n";
    return kUsage;
  }
  std::ifstream file(argv[1]);
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  citronlane::fakes::Json document;
  document.Parse<rapidjson::kParseCommentsFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) {
    std::cerr << "fakes: can not read " << argv[1] << "\n";
    return kUsage;
  }
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](const boost::system::error_code& /*error*/,
                                int /*signal*/) { context.stop(); });
  try {
    citronlane::fakes::Fleet fleet(&context, document);
    std::cout << fleet.Ports() << std::endl;
    std::vector<std::thread> threads;
    const int count = argc > 2 ? std::atoi(argv[2]) : 1;
    for (int i = 1; i < count; ++i) {
      threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (std::thread& thread : threads) {
      thread.join();
    }
  } catch (const std::exception& error) {
    std::cerr << "fakes: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
