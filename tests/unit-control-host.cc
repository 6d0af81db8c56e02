#include <catch2/catch.hpp>

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "citronlane/base/error.h"
#include "citronlane/base/steady_now.h"
#include "citronlane/control/control_host.h"
#include "citronlane/net/frame_link.h"
#include "citronlane/net/process_signals.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/serving/dialect.h"
#include "citronlane/serving/node_settings.h"
#include "fleet.pb.h"
#include "platform/dialect.h"
#include "support/eventually.h"
#include "support/free_endpoint.h"

namespace citronlane {
namespace {

using wire::fleet::Frame;
using wire::fleet::StreamOriginAnswer;

constexpr uint64_t kStream = 77;

/// A control VM on a thread of its own, which gets SIGINT at the end.
class Host {
 public:
  Host(NodeSettings settings, const Dialect* dialect)
      : host_(
            std::move(settings),
            [] { return std::optional<NodeSettings>(); },
            dialect,
            &log_),
        thread_([this] {
          Error error;
          host_.Run(&error);
        }) {}
  ~Host() {
    pthread_kill(thread_.native_handle(), SIGINT);
    thread_.join();
  }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

 private:
  EventLog log_{"control",
                {[](std::string_view) { return true; }, SteadyNow,
                 [] { return int64_t{0}; }}};
  ControlHost host_;
  std::thread thread_;
};

/// A gateway's connection to a control VM, and the last answer on it.
class Link {
 public:
  Link(boost::asio::io_context* io, const std::string& endpoint)
      : link_(io, endpoint, HooksOf()) {}

  void Report(const std::string& version) {
    Frame frame;
    auto* origin = frame.mutable_stream_origins()->add_origins();
    origin->set_service("chat");
    origin->set_version(version);
    origin->add_streams(kStream);
    link_.Send(frame);
  }
  void Ask() {
    Frame frame;
    frame.mutable_origin_ask()->set_question(5);
    frame.mutable_origin_ask()->set_stream(kStream);
    frame.mutable_origin_ask()->set_service("chat");
    link_.Send(frame);
  }
  const StreamOriginAnswer& answer() const { return answer_; }

 private:
  FrameLink::Hooks HooksOf() {
    FrameLink::Hooks hooks;
    hooks.received_ = [this](Frame* frame) {
      if (frame->has_origin_answer()) {
        answer_ = frame->origin_answer();
      }
    };
    return hooks;
  }

  StreamOriginAnswer answer_;
  FrameLink link_;
};

}  // namespace

TEST_CASE("control VMs remember streams for each other") {
  ProcessSignals::Block();
  boost::asio::io_context io;
  const Dialect dialect = platform::MakeDialect();
  const auto root = std::filesystem::temp_directory_path() /
                    ("unit-control-host-" + std::to_string(::getpid()));
  std::filesystem::remove_all(root);
  NodeSettings settings;
  settings.first_start_ = true;
  // Nobody listens there.
  settings.server_list_address_ = FreeEndpoint(&io);
  for (int i = 0; i < 3; ++i) {
    settings.seeds_.push_back(FreeEndpoint(&io));
  }
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Link>> links;
  for (const std::string& endpoint : settings.seeds_) {
    settings.internal_listen_ = endpoint;
    settings.operator_listen_ = FreeEndpoint(&io);
    settings.data_dir_ = root / endpoint;
    hosts.push_back(std::make_unique<Host>(settings, &dialect));
    links.push_back(std::make_unique<Link>(&io, endpoint));
  }
  const auto until = [&](const std::function<bool()>& condition) {
    return Eventually([&] {
      for (const auto& link : links) {
        link->Ask();
      }
      io.restart();
      io.poll();
      return condition();
    });
  };
  const auto count = [&](bool (StreamOriginAnswer::*is_so)() const) {
    return std::count_if(links.begin(), links.end(), [is_so](const auto& link) {
      return (link->answer().*is_so)();
    });
  };

  CHECK(until([&] { return count(&StreamOriginAnswer::leads) == 1; }));
  CHECK(count(&StreamOriginAnswer::is_known) == 0);
  links[0]->Report("4.1");
  CHECK(until([&] { return count(&StreamOriginAnswer::is_known) == 3; }));
  for (const auto& link : links) {
    CHECK(link->answer().question() == 5);
    CHECK(link->answer().service() == "chat");
    CHECK(link->answer().version() == "4.1");
  }

  hosts.clear();
  std::filesystem::remove_all(root);
}

}  // namespace citronlane
