#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "citronlane/base/error.h"
#include "citronlane/base/text.h"
#include "citronlane/serving/event_splitter.h"
#include "citronlane/serving/serving_config.h"
#include "citronlane/state/config_register.h"

namespace citronlane {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name_ = name;
  route.host_ = host;
  route.prefix_ = prefix;
  route.timeout_ = std::chrono::seconds(1);
  route.split_.push_back({"s", 1});
  return route;
}

ServingConfig::Parts MakeParts() {
  ServingConfig::Parts parts;
  parts.version_ = 3;
  parts.services_.push_back({"s", 10, {}, {}, {}});
  for (const Route& route :
       {MakeRoute("short", "h", "/a/"), MakeRoute("long", "h", "/a/b/"),
        MakeRoute("other", "i", "/a/")}) {
    parts.routes_.push_back(std::make_shared<const Route>(route));
  }
  ClientAccount account;
  account.name_ = "acc";
  account.keys_ = {"k1", "k2"};
  parts.accounts_.push_back(account);
  return parts;
}

bool HasFault(const ServingConfig::Parts& parts, const std::string& text) {
  const auto faults = ServingConfig::Faults(parts);
  return std::any_of(faults.begin(), faults.end(), [&](const auto& fault) {
    return fault.find(text) != std::string::npos;
  });
}

}  // namespace

TEST_CASE("serving configuration") {
  const ServingConfig config(MakeParts());

  SECTION("the longest prefix of the host wins") {
    CHECK(config.FindRoute("h", "/a/x")->name_ == "short");
    CHECK(config.FindRoute("h", "/a/b/c/d")->name_ == "long");
    CHECK(config.FindRoute("h", "/a/b/")->name_ == "long");
    CHECK(config.FindRoute("h", "/a/b")->name_ == "short");
    CHECK(config.FindRoute("i", "/a/b/c")->name_ == "other");
  }

  SECTION("a path without a matching prefix has no route") {
    CHECK(config.FindRoute("h", "/ab/") == nullptr);
    CHECK(config.FindRoute("h", "/") == nullptr);
    CHECK(config.FindRoute("h", "") == nullptr);
    CHECK(config.FindRoute("x", "/a/") == nullptr);
  }

  SECTION("keys identify accounts") {
    CHECK(config.FindAccount("k2")->name_ == "acc");
    CHECK(config.FindAccount("k3") == nullptr);
    CHECK(config.FindAccount("") == nullptr);
  }
}

// Replaces the route by a copy and returns that, since routes are shared.
Route* Change(ServingConfig::Parts* parts, size_t index) {
  auto changed = std::make_shared<Route>(*parts->routes_[index]);
  Route* const route = changed.get();
  parts->routes_[index] = std::move(changed);
  return route;
}

TEST_CASE("validation errors of a serving configuration") {
  ServingConfig::Parts parts = MakeParts();
  CHECK(ServingConfig::Faults(parts).empty());

  SECTION("unknown service") {
    Change(&parts, 0)->split_[0].service_ = "t";
    CHECK(HasFault(parts, "unknown service"));
  }
  SECTION("unknown service of a stage") {
    Change(&parts, 0)->stages_.push_back({"t", {}, 1});
    CHECK(HasFault(parts, "stage 0 names an unknown service"));
  }
  SECTION("stage that depends on a later one") {
    Change(&parts, 0)->stages_.push_back({"s", {0}, 1});
    CHECK(HasFault(parts, "does not come before"));
  }
  SECTION("same host and prefix") {
    Change(&parts, 1)->prefix_ = "/a/";
    CHECK(HasFault(parts, "has its host and prefix"));
  }
  SECTION("weights add up to 0") {
    Change(&parts, 0)->split_[0].weight_ = 0;
    CHECK(HasFault(parts, "weights"));
  }
  SECTION("no timeout") {
    Change(&parts, 0)->timeout_ = Duration();
    CHECK(HasFault(parts, "timeout is 0"));
  }
  SECTION("a key in two accounts") {
    ClientAccount other;
    other.name_ = "b";
    other.keys_ = {"k1"};
    parts.accounts_.push_back(other);
    CHECK(HasFault(parts, "held twice"));
  }
  SECTION("several errors are all listed") {
    Change(&parts, 0)->timeout_ = Duration();
    Change(&parts, 1)->split_[0].weight_ = 0;
    CHECK(ServingConfig::Faults(parts).size() == 2);
  }
}

TEST_CASE("routes whose requests may repeat") {
  Route route;
  route.kind_ = RouteKind::kUnsafe;
  CHECK_FALSE(route.MayRepeat());
  route.resumable_ = true;
  CHECK_FALSE(route.MayRepeat());
  route.kind_ = RouteKind::kStreaming;
  CHECK(route.MayRepeat());
  route.resumable_ = false;
  CHECK_FALSE(route.MayRepeat());
  route.kind_ = RouteKind::kSafe;
  CHECK(route.MayRepeat());
}

TEST_CASE("event splitter") {
  EventSplitter splitter(std::nullopt);
  std::string complete;

  SECTION("events are complete, however the stream is fragmented") {
    const std::string text = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\n";
    for (const char c : text) {
      REQUIRE(splitter.Feed({&c, 1}, &complete) ==
              EventSplitter::FeedResult::kGood);
    }
    CHECK(complete == text);
    CHECK(splitter.events() == 2);
    CHECK(splitter.last_event() == 1U);
    CHECK_FALSE(splitter.has_partial());
  }

  SECTION("a partly received event is kept back and can be dropped") {
    splitter.Feed("id: 0\ndata: a\n\nid: 1\nda", &complete);
    CHECK(complete == "id: 0\ndata: a\n\n");
    CHECK(splitter.has_partial());
    splitter.DropPartial();
    splitter.Feed("id: 1\ndata: b\n\n", &complete);
    CHECK(complete == "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  }

  SECTION("a gap and a repeat are out of order") {
    splitter.Feed("id: 4\n\n", &complete);
    CHECK(splitter.Feed("id: 6\n\n", &complete) ==
          EventSplitter::FeedResult::kOutOfOrder);
    EventSplitter again(std::nullopt);
    again.Feed("id: 4\n\n", &complete);
    CHECK(again.Feed("id: 4\n\n", &complete) ==
          EventSplitter::FeedResult::kOutOfOrder);
  }

  SECTION("a continuation begins after the caller's last event") {
    EventSplitter resumed(7);
    complete.clear();
    CHECK(resumed.Feed("id: 9\n\n", &complete) ==
          EventSplitter::FeedResult::kOutOfOrder);
    CHECK(complete.empty());
    EventSplitter good(7);
    CHECK(good.Feed("id: 8\n\n", &complete) ==
          EventSplitter::FeedResult::kGood);
  }

  SECTION("an event without an end is refused") {
    const std::string large(size_t{2} << 20, 'x');
    CHECK(splitter.Feed(large, &complete) ==
          EventSplitter::FeedResult::kTooLarge);
  }
}

TEST_CASE("config register") {
  ConfigRegister config;
  CHECK(config.is_empty());
  CHECK(config.Apply(ConfigRegister::Command(5, "five\nlines")));
  CHECK(config.version() == 5);
  CHECK(config.document() == "five\nlines");

  SECTION("the highest version stays, in any order") {
    CHECK_FALSE(config.Apply(ConfigRegister::Command(4, "four")));
    CHECK_FALSE(config.Apply(ConfigRegister::Command(5, "other content")));
    CHECK(config.document() == "five\nlines");
    CHECK(config.Apply(ConfigRegister::Command(9, "nine")));
    CHECK(config.version() == 9);
  }
  SECTION("version 0 may be the first") {
    ConfigRegister first;
    CHECK(first.Apply(ConfigRegister::Command(0, "zero")));
    CHECK_FALSE(first.is_empty());
  }
  SECTION("a snapshot restores the full state") {
    ConfigRegister copy;
    copy.Apply(ConfigRegister::Command(77, "old"));
    copy.Restore(config.Snapshot());
    CHECK(copy.version() == 5);
    CHECK(copy.document() == "five\nlines");
    copy.Restore(ConfigRegister().Snapshot());
    CHECK(copy.is_empty());
  }
  SECTION("a difference is applied only to its base") {
    Error error;
    const auto command = config.DifferenceCommand(8, "eight\nlines", &error);
    REQUIRE(command);
    ConfigRegister other;
    other.Apply(ConfigRegister::Command(6, "six"));
    CHECK_FALSE(other.Apply(*command));
    CHECK(other.document() == "six");
    CHECK_FALSE(ConfigRegister().Apply(*command));
    CHECK(config.Apply(*command));
    CHECK(config.version() == 8);
    CHECK(config.document() == "eight\nlines");
    CHECK_FALSE(config.Apply(*command));
  }
  SECTION("a damaged difference changes nothing") {
    Error error;
    std::string command = *config.DifferenceCommand(8, "eight", &error);
    command.back() = static_cast<char>(command.back() ^ 1);
    CHECK_FALSE(config.Apply(command));
    command.pop_back();
    CHECK_FALSE(config.Apply(command));
    CHECK_FALSE(config.Apply("+8\n5"));
    CHECK(config.version() == 5);
  }
  SECTION("an invalid command changes nothing") {
    CHECK_FALSE(config.Apply("nine"));
    CHECK_FALSE(config.Apply("x9\nnine"));
    CHECK(config.version() == 5);
  }
}

TEST_CASE("text helpers") {
  CHECK(Stripped(" \ta b ") == "a b");
  CHECK(Stripped("  ").empty());
  CHECK(EqualsIgnoringCase("Content-Length", "content-lengtH"));
  CHECK_FALSE(EqualsIgnoringCase("a", "ab"));
  CHECK(Split("a, b,,c", ',') ==
        std::vector<std::string_view>{"a", "b", "", "c"});
  CHECK(Split("", ',') == std::vector<std::string_view>{""});
}

}  // namespace citronlane
