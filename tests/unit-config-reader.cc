#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "citronlane/json/text_range.h"
#include "citronlane/serving/route.h"
#include "citronlane/serving/route_cache.h"
#include "citronlane/serving/serving_config.h"
#include "platform/config_reader.h"

namespace citronlane::platform {
namespace {

std::string RouteText(int number) {
  const std::string name = std::to_string(number);
  return R"({"name":"r)" + name + R"(","hostname":"h)" +
         std::to_string(number % 3) + R"(.example","path_prefix":"/p)" + name +
         R"(/","kind":"streaming","timeout_ms":)" +
         std::to_string(1000 + number) +
         R"(,"resumable":true,"traffic_split":[{"service":"s","weight":9},)"
         R"({"service":"t","weight":1}],"stages":[{"service":"t","after":[],)"
         R"("size_bytes":10}]})";
}

std::string DocumentText(int version, const std::vector<std::string>& routes) {
  std::string text = "{\"version\":" + std::to_string(version) +
                     R"(, "limits": {"max_body_bytes": 77}, "routes" : [ )";
  for (size_t i = 0; i < routes.size(); ++i) {
    text += (i == 0 ? "" : ",\n ") + routes[i];
  }
  return text + R"(],"services":[{"name":"s"},{"name":"t"}],"tenants":[)"
                R"({"name":"a","api_keys":["k1"]}]})";
}

/// The contents of a configuration as text, for comparison.
std::string Contents(const std::shared_ptr<const ServingConfig>& config) {
  if (!config) {
    return "refused";
  }
  std::ostringstream out;
  out << config->version() << ' ' << config->limits().body_bytes_ << ' '
      << config->services().size() << ' ' << config->has_accounts();
  for (const auto& shared : config->routes()) {
    const Route& route = *shared;
    out << '\n'
        << route.name_ << ' ' << route.host_ << ' ' << route.prefix_ << ' '
        << static_cast<int>(route.kind_) << ' ' << route.timeout_.count() << ' '
        << route.resumable_ << ' ' << route.caller_patience_.count();
    for (const WeightedService& weighted : route.split_) {
      out << ' ' << weighted.service_ << ' ' << weighted.weight_;
    }
    for (const RouteStage& stage : route.stages_) {
      out << ' ' << stage.service_ << ' ' << stage.result_bytes_;
    }
    const Route* found = config->FindRoute(route.host_, route.prefix_ + "x");
    out << ' ' << (found == nullptr ? "none" : found->name_);
  }
  return out.str();
}

/// Reads each document with a reader that has read others, and alone.
class BothReaders {
 public:
  void Check(const std::string& document) {
    Lines alone;
    Lines after;
    const std::string expected = Contents(ReadConfig(document, &alone));
    CHECK(Contents(reader_.Read(document, &after)) == expected);
    CHECK(after == alone);
    refused_ += expected == "refused" ? 1 : 0;
  }

  int refused_ = 0;

 private:
  using Lines = std::vector<std::string>;

  ConfigReader reader_;
};

}  // namespace

TEST_CASE("a value is found in its text") {
  const auto value = [](std::string_view text, size_t begin) {
    const auto range = FindValue(text, begin);
    return range ? std::string(text.substr(begin, range->end_ - begin))
                 : "none";
  };
  CHECK(value(R"([1,{"a":"]}\""}, 2] x)", 0) == R"([1,{"a":"]}\""}, 2])");
  CHECK(value(R"({"a":12})", 5) == "12");
  CHECK(value(R"("a\\" b)", 0) == R"("a\\")");
  CHECK(value("[1", 0) == "none");
  CHECK(value("\"a", 0) == "none");
  CHECK(value("\"a\\", 0) == "none");
  CHECK(value("[1 /* ] */]", 0) == "none");
  CHECK(value("", 0) == "none");
  CHECK(value("12", 0) == "none");

  const auto member = [](std::string_view text, std::string_view name) {
    const auto range = FindMember(text, name);
    return range ? std::string(
                       text.substr(range->begin_, range->end_ - range->begin_))
                 : "none";
  };
  CHECK(member(R"( {"a" : [1] , "b":{"a":2}} )", "a") == "[1]");
  CHECK(member(R"({"a":1,"b":{"a":2}})", "b") == R"({"a":2})");
  CHECK(member(R"({"a":1})", "c") == "none");
  CHECK(member(R"({"a":1,"a":2})", "a") == "none");
  CHECK(member(R"({})", "a") == "none");
  CHECK(member(R"({"a":1)", "a") == "none");

  const auto begin = [](std::string_view text, std::string_view name) {
    const auto place = FindMemberBegin(text, name);
    return place ? std::string(text.substr(*place)) : "none";
  };
  CHECK(begin(R"( {"a" : [1] , "b":{"a":2}} )", "a") ==
        R"([1] , "b":{"a":2}} )");
  CHECK(begin(R"({"a":1,"b":[not json)", "b") == "[not json");
  CHECK(begin(R"({"a":1)", "b") == "none");
  CHECK(begin(R"({"a":[1,"b":2})", "b") == "none");
  CHECK(begin(R"({"a" 1})", "a") == "none");
  CHECK(begin("[]", "a") == "none");
  CHECK(member(R"(["a"])", "a") == "none");
}

// Copying thousands of routes for each version delayed the requests of gateways
// with little processor time.
TEST_CASE("versions share the routes that did not change") {
  const auto route = [](const std::string& host, int timeout) {
    return R"({"name":"r","hostname":")" + host +
           R"(","path_prefix":"/","kind":"safe","service":"s","timeout_ms":)" +
           std::to_string(timeout) + "}";
  };
  const auto document = [&route](int version, int timeout) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("h", 1) + "," + route("i", timeout) +
           R"(],"services":[{"name":"s"}]})";
  };
  ConfigReader reader;
  std::vector<std::string> faults;
  const auto first = reader.Read(document(1, 10), &faults);
  const auto second = reader.Read(document(2, 20), &faults);
  REQUIRE(first);
  REQUIRE(second);
  CHECK(second->routes()[0] == first->routes()[0]);
  CHECK(second->routes()[1] != first->routes()[1]);
  CHECK(second->routes()[1]->timeout_ == std::chrono::milliseconds(20));
}

TEST_CASE("unchanged routes are not read again") {
  int reads = 0;
  RouteCache cache([&](std::string_view text) -> std::optional<Route> {
    ++reads;
    if (text == "{}") {
      return std::nullopt;
    }
    Route route;
    route.name_ = text;
    return route;
  });
  const auto names = [&](std::string_view array) {
    const auto read = cache.Read(array);
    if (!read) {
      return std::string("none");
    }
    std::string names;
    for (const auto& route : read->routes_) {
      names += route->name_;
    }
    CHECK(array.substr(read->end_ - 1, 1) == "]");
    return names + std::string(array.substr(read->end_));
  };
  REQUIRE(names(R"([{"a":1},{"b":1},{"c":1}])") == R"({"a":1}{"b":1}{"c":1})");
  REQUIRE(reads == 3);

  SECTION("if others are added or removed around them") {
    CHECK(names(R"([{"x":1}, {"a":1},{"y":1},{"c":1},{"z":1}])") ==
          R"({"x":1}{"a":1}{"y":1}{"c":1}{"z":1})");
    CHECK(reads == 6);
    CHECK(names(R"([{"c":1},{"a":1}])") == R"({"c":1}{"a":1})");
    CHECK(reads == 6);
  }
  SECTION("after an array that was refused") {
    CHECK(names(R"([{"a":1},{}])") == "none");
    CHECK(names(R"([{"a":1})") == "none");
    CHECK(names(R"([{"a":1}}])") == "none");
    CHECK(names(R"([{"a":1}{"b":1}])") == "none");
    CHECK(names(R"([{"a":1},])") == "none");
    CHECK(names(R"({"a":1})") == "none");
    reads = 0;
    CHECK(names(R"([{"a":1},{"b":1},{"c":1}])") == R"({"a":1}{"b":1}{"c":1})");
    CHECK(reads == 0);
  }
  SECTION("and an empty array is valid") {
    CHECK(names("[ ]").empty());
    CHECK(reads == 3);
  }
}

TEST_CASE("a document reads the same after others as alone") {
  BothReaders both;
  std::minstd_rand random(7);
  constexpr int kRoutes = 12;
  std::vector<std::string> routes;
  routes.reserve(kRoutes);
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back(RouteText(i));
  }
  both.Check(DocumentText(1, routes));
  REQUIRE(both.refused_ == 0);

  SECTION("routes added, removed, changed, moved, duplicated") {
    for (int version = 2; version < 200; ++version) {
      const size_t place = random() % routes.size();
      switch (random() % 5) {
        case 0:
          routes.insert(routes.begin() + static_cast<ptrdiff_t>(place),
                        RouteText(version + 100));
          break;
        case 1:
          if (routes.size() > 1) {
            routes.erase(routes.begin() + static_cast<ptrdiff_t>(place));
          }
          break;
        case 2:
          routes[place] = RouteText(version + 100);
          break;
        case 3:
          std::swap(routes[place], routes.back());
          break;
        default: {
          auto doubled = routes;
          doubled.push_back(routes[place]);
          both.Check(DocumentText(version, doubled));
        }
      }
      both.Check(DocumentText(version, routes));
    }
    CHECK(both.refused_ > 0);
  }
  SECTION("damaged texts are refused the same way") {
    const std::string document = DocumentText(2, routes);
    constexpr std::string_view kBytes = "\"{}[],:/\\ 0x";
    for (int i = 0; i < 1500; ++i) {
      std::string damaged = document;
      const size_t place = random() % damaged.size();
      switch (random() % 3) {
        case 0:
          damaged[place] = kBytes[random() % kBytes.size()];
          break;
        case 1:
          damaged.erase(place, 1 + random() % 3);
          break;
        default:
          damaged.insert(place, 1, kBytes[random() % kBytes.size()]);
      }
      both.Check(damaged);
    }
    CHECK(both.refused_ > 500);
    both.Check(document);
  }
  SECTION("names written twice, escaped or missing, comments") {
    const std::string tail = R"("services":[{"name":"s"},{"name":"t"}]})";
    for (const std::string& text :
         {R"({"version":3,"routes":[],"routes":[],)" + tail,
          R"({"version":3,"routes":[],"rout\u0065s":[],)" + tail,
          R"({"version":3,"rout\u0065s":[)" + RouteText(1) + "]," + tail,
          R"({"version":3,)" + tail, R"({"version":3,"routes":{},)" + tail,
          R"({"version":3,"routes":[/* none */],)" + tail,
          R"({"version":3,"routes":[[]],)" + tail,
          R"({"version":3,"routes":[],)" + tail + "x", std::string("[]"),
          std::string()}) {
      both.Check(text);
    }
  }
}

}  // namespace citronlane::platform
