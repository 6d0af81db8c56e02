#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "citronlane/control/origin_feed.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/origin_watch.h"
#include "citronlane/routing/stream_origins.h"
#include "citronlane/serving/backend_server.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::fleet::Frame;
using wire::fleet::StreamOriginAnswer;
using wire::fleet::StreamOriginAsk;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr size_t kMaxStreamsPerFrame = 4096;
/// Streams that a gateway remembers within a generation.
constexpr size_t kGatewayBound = size_t{1} << 18;

StreamOrigin Old() {
  return {"chat", "4.1"};
}
StreamOrigin New() {
  return {"chat", "4.2"};
}
StreamOrigin Draw() {
  return {"draw", "4.1"};
}

EventLog LogTo(std::string* lines, const TimePoint* now) {
  return EventLog("test", {[lines](std::string_view line) {
                             lines->append(line);
                             return true;
                           },
                           [now] { return *now; }, [] { return int64_t{0}; }});
}

size_t Count(std::string_view text, std::string_view part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

/// Versions by stream in the reports among the frames.
std::map<uint64_t, std::string> Reported(const std::vector<Frame>& frames) {
  std::map<uint64_t, std::string> reported;
  for (const Frame& frame : frames) {
    for (const auto& origin : frame.stream_origins().origins()) {
      for (const uint64_t stream : origin.streams()) {
        reported[stream] = origin.service() + " " + origin.version();
      }
    }
  }
  return reported;
}

size_t StreamsIn(const Frame& frame) {
  size_t streams = 0;
  for (const auto& origin : frame.stream_origins().origins()) {
    streams += static_cast<size_t>(origin.streams_size());
  }
  return streams;
}

std::vector<StreamOriginAsk> Asked(const std::vector<Frame>& frames) {
  std::vector<StreamOriginAsk> asked;
  for (const Frame& frame : frames) {
    if (frame.has_origin_ask()) {
      asked.push_back(frame.origin_ask());
    }
  }
  return asked;
}

uint64_t Key(std::string_view id) {
  return StreamOrigins::KeyOf(id);
}

/// A gateway's watch and the frames that it sent.
class Gateway {
 public:
  std::vector<Frame> Sent() { return std::exchange(sent_, {}); }

  TimePoint now_ = kStart;
  std::string lines_;

 private:
  OriginWatch::Hooks HooksOf() {
    return {[this](const Frame& frame) { sent_.push_back(frame); },
            [this] { return now_; }};
  }

  std::vector<Frame> sent_;
  EventLog log_ = LogTo(&lines_, &now_);

 public:
  OriginWatch watch_{&log_, HooksOf()};
};

/// A control VM's part.
class Control {
 public:
  StreamOriginAnswer Answer(std::string_view id,
                            const std::string& service = "chat",
                            bool leads = true) {
    StreamOriginAsk ask;
    ask.set_question(7);
    ask.set_stream(Key(id));
    ask.set_service(service);
    StreamOriginAnswer answer;
    feed_.AnswerTo(ask, leads, now_, &answer);
    CHECK(answer.question() == 7);
    CHECK(answer.leads() == leads);
    return answer;
  }

  void Take(const std::vector<Frame>& frames) {
    for (const Frame& frame : frames) {
      feed_.Take(frame.stream_origins(), now_);
    }
  }

  TimePoint now_ = kStart;
  std::string lines_;

 private:
  EventLog log_ = LogTo(&lines_, &now_);

 public:
  OriginFeed feed_{&log_};
};

BackendServer Server(const std::string& version) {
  BackendServer server;
  server.id_ = version;
  server.service_ = "chat";
  server.version_ = version;
  return server;
}

}  // namespace

TEST_CASE("a gateway remembers and reports what began its streams") {
  Gateway gateway;
  OriginWatch& watch = gateway.watch_;
  watch.OnBegun("r-1", Old());
  watch.OnBegun("r-2", New());
  watch.OnBegun("r-3", Old());
  watch.OnBegun("r-4", Draw());

  SECTION("it knows them at once") {
    CHECK(watch.Find("r-1") == Old());
    CHECK(watch.Find("r-2") == New());
    CHECK_FALSE(watch.Find("r-5"));
    CHECK(gateway.Sent().empty());
  }
  SECTION("the next tick reports them together, grouped by origin") {
    watch.Tick();
    const auto sent = gateway.Sent();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].stream_origins().origins_size() == 3);
    CHECK_FALSE(sent[0].stream_origins().is_copy());
    CHECK(Reported(sent) ==
          std::map<uint64_t, std::string>{{Key("r-1"), "chat 4.1"},
                                          {Key("r-2"), "chat 4.2"},
                                          {Key("r-3"), "chat 4.1"},
                                          {Key("r-4"), "draw 4.1"}});
    watch.Tick();
    CHECK(gateway.Sent().empty());
  }
  SECTION("a stream is reported once, with its first origin") {
    watch.OnBegun("r-1", New());
    CHECK(watch.Find("r-1") == Old());
    watch.Tick();
    CHECK(Reported(gateway.Sent())[Key("r-1")] == "chat 4.1");
    watch.OnBegun("r-1", New());
    watch.Tick();
    CHECK(gateway.Sent().empty());
  }
  SECTION("a new leader gets all, reported before or not") {
    watch.Tick();
    gateway.Sent();
    watch.OnBegun("r-5", New());
    watch.ReportAll();
    CHECK(Reported(gateway.Sent()).size() == 5);
    watch.Tick();
    CHECK(gateway.Sent().empty());
  }
  SECTION("a new leader doesn't get what is forgotten") {
    gateway.now_ += seconds(60);
    CHECK(watch.Find("r-1") == Old());
    gateway.now_ += seconds(60);
    CHECK_FALSE(watch.Find("r-1"));
    gateway.Sent();
    watch.ReportAll();
    CHECK(gateway.Sent().empty());
  }
}

TEST_CASE("reports of many streams are divided") {
  Gateway gateway;
  for (size_t i = 0; i < 3 * kMaxStreamsPerFrame; ++i) {
    gateway.watch_.OnBegun("r-" + std::to_string(i),
                           i % 3 == 0 ? New() : Old());
  }
  const bool to_new_leader = GENERATE(false, true);
  if (to_new_leader) {
    gateway.watch_.ReportAll();
  } else {
    gateway.watch_.Tick();
  }
  const auto sent = gateway.Sent();
  CHECK(sent.size() == 3);
  for (const Frame& frame : sent) {
    CHECK(StreamsIn(frame) <= kMaxStreamsPerFrame);
  }
  const auto reported = Reported(sent);
  CHECK(reported.size() == 3 * kMaxStreamsPerFrame);
  CHECK(reported.at(Key("r-0")) == "chat 4.2");
  CHECK(reported.at(Key("r-1")) == "chat 4.1");
}

TEST_CASE("a gateway logs once that it forgot streams early") {
  Gateway gateway;
  for (size_t i = 0; i < 2 * kGatewayBound; ++i) {
    gateway.watch_.OnBegun(std::to_string(i), Old());
  }
  gateway.watch_.Tick();
  CHECK(gateway.lines_.empty());
  gateway.watch_.OnBegun("another", Old());
  gateway.watch_.Tick();
  gateway.watch_.Tick();
  CHECK(Count(gateway.lines_, "stream origins forgotten") == 1);
  CHECK(Count(gateway.lines_, std::to_string(kGatewayBound)) == 1);
}

TEST_CASE("a gateway asks what began a stream") {
  Gateway gateway;
  OriginWatch& watch = gateway.watch_;
  std::vector<OriginWatch::Answer> answers;
  const uint64_t question = watch.Ask(
      "r-1", "chat",
      [&](const OriginWatch::Answer& answer) { answers.push_back(answer); });
  const auto asked = Asked(gateway.Sent());
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].question() == question);
  CHECK(asked[0].stream() == Key("r-1"));
  CHECK(asked[0].service() == "chat");

  StreamOriginAnswer known;
  known.set_question(question);
  known.set_is_known(true);
  known.set_service("chat");
  known.set_version("4.1");
  StreamOriginAnswer unknown;
  unknown.set_question(question);
  unknown.set_only_version("4.2");
  unknown.set_only_version_ms(1500);

  SECTION("a VM that knows it needs not lead") {
    watch.Take(known);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].origin_ == Old());
    // The next attempt may come to this gateway, too.
    CHECK(watch.Find("r-1") == Old());

    SECTION("and later answers are ignored") {
      known.set_version("4.2");
      watch.Take(known);
      unknown.set_leads(true);
      watch.Take(unknown);
      CHECK(answers.size() == 1);
      CHECK(watch.Find("r-1") == Old());
    }
  }
  SECTION("a leader that doesn't know it decides") {
    unknown.set_leads(true);
    watch.Take(unknown);
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers[0].origin_);
    REQUIRE(answers[0].only_version_);
    CHECK(answers[0].only_version_->version_ == "4.2");
    CHECK(answers[0].only_version_->for_ == milliseconds(1500));
    CHECK_FALSE(watch.Find("r-1"));
    watch.Take(known);
    CHECK(answers.size() == 1);
  }
  SECTION("another VM that doesn't know it doesn't decide") {
    watch.Take(unknown);
    CHECK(answers.empty());
    watch.Take(known);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].origin_ == Old());
  }
  SECTION("a new leader is asked again, until there is an answer") {
    watch.ReportAll();
    const auto again = Asked(gateway.Sent());
    REQUIRE(again.size() == 1);
    CHECK(again[0].question() == question);
    CHECK(again[0].stream() == Key("r-1"));
    watch.Take(known);
    gateway.Sent();
    watch.ReportAll();
    CHECK(Asked(gateway.Sent()).empty());
  }
  SECTION("after it is cancelled there is no answer") {
    watch.Cancel(question);
    watch.Take(known);
    CHECK(answers.empty());
    watch.ReportAll();
    CHECK(Asked(gateway.Sent()).empty());
    watch.Cancel(question);
  }
  SECTION("answers go to their questions") {
    std::optional<StreamOrigin> other;
    const uint64_t second = watch.Ask(
        "r-2", "chat",
        [&](const OriginWatch::Answer& answer) { other = answer.origin_; });
    CHECK(second != question);
    known.set_question(second);
    watch.Take(known);
    CHECK(other == Old());
    CHECK(answers.empty());
  }
  SECTION("the answer may lead to the next question") {
    uint64_t second = 0;
    const uint64_t first =
        watch.Ask("r-2", "chat", [&](const OriginWatch::Answer&) {
          second = watch.Ask("r-3", "chat", [](const auto&) {});
        });
    known.set_question(first);
    watch.Take(known);
    CHECK(second != 0);
    CHECK(second != first);
  }
}

TEST_CASE("a control VM remembers what gateways report") {
  Gateway gateway;
  gateway.watch_.OnBegun("r-1", Old());
  gateway.watch_.OnBegun("r-2", New());
  gateway.watch_.Tick();
  const auto report = gateway.Sent();
  Control control;
  control.Take(report);

  SECTION("and answers, leader or not") {
    const bool leads = GENERATE(true, false);
    const auto answer = control.Answer("r-1", "chat", leads);
    CHECK(answer.is_known());
    CHECK(answer.service() == "chat");
    CHECK(answer.version() == "4.1");
    CHECK_FALSE(control.Answer("r-3", "chat", leads).is_known());
  }
  SECTION("and keeps the first origin") {
    Gateway other;
    other.watch_.OnBegun("r-1", New());
    other.watch_.Tick();
    control.Take(other.Sent());
    CHECK(control.Answer("r-1").version() == "4.1");
  }
  SECTION(
      "and passes it on, so that the loss of the leader and the gateway "
      "loses nothing") {
    const auto copies = control.feed_.TakeCopies(control.now_);
    REQUIRE(copies.size() == 1);
    CHECK(copies[0].stream_origins().is_copy());
    CHECK(Reported(copies) == Reported(report));
    Control other;
    other.Take(copies);
    CHECK(other.Answer("r-1", "chat", false).version() == "4.1");
    CHECK(other.Answer("r-2", "chat", false).version() == "4.2");

    SECTION("once") {
      CHECK(control.feed_.TakeCopies(control.now_).empty());
      CHECK(other.feed_.TakeCopies(other.now_).empty());
    }
    SECTION("and not again when gateways report all to a new leader") {
      gateway.watch_.OnBegun("r-3", New());
      gateway.watch_.ReportAll();
      other.Take(gateway.Sent());
      CHECK(Reported(other.feed_.TakeCopies(other.now_)) ==
            std::map<uint64_t, std::string>{{Key("r-3"), "chat 4.2"}});
    }
  }
  SECTION("reports that arrive together are passed on together") {
    Gateway other;
    other.watch_.OnBegun("r-3", Old());
    other.watch_.Tick();
    control.Take(other.Sent());
    const auto copies = control.feed_.TakeCopies(control.now_);
    REQUIRE(copies.size() == 1);
    CHECK(copies[0].stream_origins().origins_size() == 2);
    CHECK(Reported(copies).size() == 3);
  }
  SECTION("for a minute at least, two at most") {
    control.now_ += seconds(60);
    CHECK(control.Answer("r-1").is_known());
    control.now_ += seconds(60);
    CHECK_FALSE(control.Answer("r-1").is_known());
  }
}

TEST_CASE("a control VM names the only version of a service") {
  Control control;

  SECTION("none before it has read a list") {
    CHECK(control.Answer("r-1").only_version_ms() == 0);
  }

  control.feed_.SetServers(std::vector{Server("4.1")}, std::nullopt,
                           control.now_);
  control.now_ += seconds(3);

  SECTION("with the time since it is the only one") {
    const auto answer = control.Answer("r-1");
    CHECK_FALSE(answer.is_known());
    CHECK(answer.only_version() == "4.1");
    CHECK(answer.only_version_ms() == 3000);
    CHECK(control.Answer("r-1", "draw").only_version_ms() == 0);
  }
  SECTION("none while there are two") {
    control.feed_.SetServers(std::vector{Server("4.1"), Server("4.2")},
                             std::nullopt, control.now_);
    control.now_ += seconds(1);
    CHECK(control.Answer("r-1").only_version().empty());
    CHECK(control.Answer("r-1").only_version_ms() == 0);

    SECTION("and the time counts from the end of the other") {
      control.feed_.SetServers(std::vector{Server("4.2")}, std::nullopt,
                               control.now_);
      CHECK(control.Answer("r-1").only_version_ms() == 0);
      control.now_ += seconds(2);
      CHECK(control.Answer("r-1").only_version() == "4.2");
      // Rounded down.
      CHECK(control.Answer("r-1").only_version_ms() == 1999);
    }
  }
  SECTION("none after it has read no list for long") {
    control.now_ += seconds(8);
    CHECK(control.Answer("r-1").only_version_ms() == 0);
  }
  SECTION("none for a stream that it knows") {
    Gateway gateway;
    gateway.watch_.OnBegun("r-1", New());
    gateway.watch_.Tick();
    control.Take(gateway.Sent());
    CHECK(control.Answer("r-1").version() == "4.2");
    CHECK(control.Answer("r-1").only_version_ms() == 0);
  }
}

}  // namespace citronlane
