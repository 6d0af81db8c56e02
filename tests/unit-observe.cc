#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "citronlane/json/parse.h"
#include "citronlane/observe/log_options.h"
#include "citronlane/observe/logger.h"
#include "citronlane/observe/metric_names.h"
#include "citronlane/observe/metrics.h"

namespace citronlane {
namespace {

std::string ReadAll(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("metrics") {
  SECTION("sum over threads loses nothing") {
    Metrics metrics;
    std::array<std::thread, 20> threads;
    for (std::thread& thread : threads) {
      thread = std::thread([&metrics] {
        for (int n = 0; n < 1000; ++n) {
          metrics.Count(kRefusalsTotal, {"fair_share", "chat", "shop"});
          metrics.Observe(kRequestSeconds, {"chat"},
                          std::chrono::milliseconds(3));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(metrics.Value(kRefusalsTotal, {"fair_share", "chat", "shop"}) ==
          20000);
    CHECK(metrics.Value(kRequestSeconds, {"chat"}) == 20000);
  }
  SECTION("are written in the Prometheus text format") {
    Metrics metrics;
    metrics.Count(kRetriesTotal, {"connect", "a\"b"}, 2.5);
    metrics.Set(kReady, {}, 0);
    metrics.Set(kReady, {}, 1);
    for (const int ms : {0, 3, 700, 120000}) {
      metrics.Observe(kRequestSeconds, {"chat"}, std::chrono::milliseconds(ms));
    }
    const std::string text = metrics.Text();
    for (const char* line :
         {"# TYPE citronlane_retries_total counter\n",
          "citronlane_retries_total{reason=\"connect\",pool=\"a\\\"b\"} 2.5\n",
          "citronlane_ready 1\n",
          "# TYPE citronlane_request_seconds histogram\n",
          "citronlane_request_seconds_bucket{class=\"chat\",le=\"0.0005\"} 1\n",
          "citronlane_request_seconds_bucket{class=\"chat\",le=\"0.005\"} 2\n",
          "citronlane_request_seconds_bucket{class=\"chat\",le=\"0.5\"} 2\n",
          "citronlane_request_seconds_bucket{class=\"chat\",le=\"60\"} 3\n",
          "citronlane_request_seconds_bucket{class=\"chat\",le=\"+Inf\"} 4\n",
          "citronlane_request_seconds_sum{class=\"chat\"} 120.703\n",
          "citronlane_request_seconds_count{class=\"chat\"} 4\n"}) {
      CHECK_THAT(text, Catch::Contains(line));
    }
  }
  SECTION("bound the number of series") {
    Metrics metrics(10);
    for (int i = 0; i < 100; ++i) {
      metrics.Count(kTokensTotal, {"pool" + std::to_string(i)});
    }
    CHECK(metrics.Value(kTokensTotal, {"other"}) == 90);
    CHECK(metrics.Value(kMetricSeriesDroppedTotal, {}) == 90);
  }
  SECTION("have one name each, and follow the naming rules") {
    std::vector<std::string_view> names;
    names.reserve(std::size(kAllMetrics));
    for (const Metric* metric : kAllMetrics) {
      const bool total =
          metric->name_.size() > 6 &&
          metric->name_.substr(metric->name_.size() - 6) == "_total";
      CHECK(total == (metric->kind_ == Metric::Kind::kCounter));
      names.push_back(metric->name_);
    }
    std::sort(names.begin(), names.end());
    CHECK(std::unique(names.begin(), names.end()) == names.end());
  }
}

TEST_CASE("log") {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() /
      ("unit-observe-" + std::to_string(getpid()) + ".log");
  LogOptions options;
  options.file_ = path.string();
  Error error;

  SECTION("text lines have the component's prefix and obey the level") {
    REQUIRE(ConfigureLogging(options, &error));
    const Logger logger("gateway");
    logger.Debug("Too small.");
    logger.Info("Started.");
    logger.Hook()("Hooked.");
    const std::string text = ReadAll(path);
    CHECK_THAT(text, Catch::Contains("Z INFO  gateway: Started.\n"));
    CHECK_THAT(text, Catch::Contains("gateway: Hooked.\n"));
    CHECK_THAT(text, !Catch::Contains("Too small"));
    CHECK_FALSE(logger.IsEnabled(LogLevel::kDebug));
  }
  SECTION("json lines can be parsed") {
    options.layout_ = LogOptions::Layout::kJson;
    options.level_ = LogLevel::kDebug;
    REQUIRE(ConfigureLogging(options, &error));
    Logger("control").Warn("A \"quoted\"\nword.");
    Fault fault;
    const auto line = ParseJson(ReadAll(path), &fault);
    REQUIRE(line);
    CHECK(line->Find("part")->AsString() == "control");
    CHECK(line->Find("level")->AsString() == "WARN");
    CHECK(line->Find("message")->AsString() == "A \"quoted\"\nword.");
  }
  SECTION("a file that can not be written is an error") {
    options.file_ = "/nowhere/at/all.log";
    CHECK_FALSE(ConfigureLogging(options, &error));
    CHECK_THAT(error.message_, Catch::Contains("/nowhere/at/all.log"));
  }
  REQUIRE(ConfigureLogging(LogOptions(), &error));
  std::filesystem::remove(path);
}

}  // namespace citronlane
