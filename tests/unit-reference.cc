#include <catch2/catch.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <functional>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "citronlane/citronlane.h"
#include "citronlane/json/fault.h"
#include "citronlane/request/retry_reason.h"

namespace citronlane {
namespace {

using ParseFaults = std::function<std::vector<Fault>(const std::string&)>;

constexpr char kRoot[] = CITRONLANE_SOURCE_DIR;
constexpr char kProbe[] = "no-such-key";

std::string Page(const std::string& name) {
  std::ifstream file(std::filesystem::path(kRoot) / "docs" / name);
  std::ostringstream text;
  text << file.rdbuf();
  INFO(name);
  REQUIRE_FALSE(text.str().empty());
  return text.str();
}

bool Mentions(const std::string& page, const std::string& item) {
  return page.find("`" + item + "`") != std::string::npos;
}

// Returns the first group of each match in a source file.
std::vector<std::string> Found(const std::string& file,
                               const std::string& pattern) {
  const std::string text = Page("../" + file);
  const std::regex expression(pattern);
  std::vector<std::string> found;
  for (std::sregex_iterator match(text.begin(), text.end(), expression), end;
       match != end; ++match) {
    found.push_back(match->str(1));
  }
  REQUIRE_FALSE(found.empty());
  return found;
}

// A place in a document at which an object with the probe is inserted.
struct Place {
  std::string before_;
  std::string after_;
  // Path of the object in validation errors, and as the pages write it.
  std::string path_;
  std::string shown_;
};

// Returns the keys that the parser allows in the object, from its message on an
// unknown key; none when there is no object at this place.
std::vector<std::string> KeysOf(const Place& place, const ParseFaults& parse) {
  const std::string document =
      place.before_ + "{\"" + kProbe + "\": {}}" + place.after_;
  const std::string path =
      place.path_.empty() ? kProbe : place.path_ + "." + kProbe;
  constexpr std::string_view kPrefix = "unknown key; allowed are: ";
  for (const Fault& fault : parse(document)) {
    if (fault.path_ != path || fault.message_.find(kPrefix) != 0) {
      continue;
    }
    std::istringstream list(fault.message_.substr(kPrefix.size()));
    std::vector<std::string> keys;
    for (std::string key; std::getline(list >> std::ws, key, ',');) {
      keys.push_back(key);
    }
    return keys;
  }
  return {};
}

// Collects every key below the place as the pages write it.
void Collect(const Place& place,
             const ParseFaults& parse,
             std::set<std::string>* found) {
  for (const std::string& key : KeysOf(place, parse)) {
    const std::string step = (place.path_.empty() ? "" : ".") + key;
    const std::string path = place.path_ + step;
    const std::string shown = place.shown_ + step;
    const std::string open = place.before_ + "{\"" + key + "\": ";
    const std::string close = "}" + place.after_;
    const std::vector<Place> inner = {
        {open, close, path, shown},
        {open + "[", "]" + close, path + "[0]", shown + "[]"},
        {open + "{\"n\": ", "}" + close, path + ".n", shown + ".NAME"}};
    bool is_leaf = true;
    for (const Place& candidate : inner) {
      if (!KeysOf(candidate, parse).empty()) {
        is_leaf = false;
        Collect(candidate, parse, found);
        break;
      }
    }
    if (is_leaf) {
      found->insert(shown);
    }
  }
}

std::set<std::string> AllKeys(const ParseFaults& parse) {
  std::set<std::string> found;
  Collect({}, parse, &found);
  return found;
}

std::vector<Fault> GatewayFaults(const std::string& text) {
  std::vector<Fault> faults;
  ParseGatewaySettings(text, "settings.json", &faults);
  return faults;
}

std::vector<Fault> ControlFaults(const std::string& text) {
  std::vector<Fault> faults;
  ParseControlSettings(text, "settings.json", &faults);
  return faults;
}

std::vector<Fault> ConfigurationFaults(const std::string& text) {
  std::vector<Fault> faults;
  ParseClusterConfig(text, 1, &faults);
  return faults;
}

std::string HelpOf(std::vector<std::string> command) {
  command.emplace_back("--help");
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunCommandLine(command, out, err) == ExitCode::kSuccess);
  return out.str();
}

// Checks that the page mentions each command and option below `command`.
void CheckCommand(const std::string& page,
                  const std::vector<std::string>& command) {
  const std::string help = HelpOf(command);
  const std::regex option("--[a-z-]+");
  for (std::sregex_iterator match(help.begin(), help.end(), option), end;
       match != end; ++match) {
    INFO(match->str());
    CHECK(page.find(match->str()) != std::string::npos);
  }
  const size_t list = help.find("Subcommands:\n");
  if (list == std::string::npos) {
    return;
  }
  std::istringstream lines(help.substr(help.find('\n', list) + 1));
  for (std::string line; std::getline(lines, line) && line[0] == ' ';) {
    std::vector<std::string> inner = command;
    std::istringstream(line) >> inner.emplace_back();
    std::string text = "citronlane";
    for (const std::string& word : inner) {
      text.append(" ").append(word);
    }
    INFO(text);
    CHECK(page.find("`" + text) != std::string::npos);
    CheckCommand(page, inner);
  }
}

}  // namespace

TEST_CASE("reference pages") {
  SECTION("name every settings key") {
    const std::string page = Page("reference/SETTINGS.md");
    std::set<std::string> keys = AllKeys(GatewayFaults);
    keys.merge(AllKeys(ControlFaults));
    CHECK(keys.size() > 60);
    for (const std::string& key : keys) {
      INFO(key);
      CHECK(Mentions(page, key));
    }
  }
  SECTION("name no settings key that does not exist") {
    std::set<std::string> keys = AllKeys(GatewayFaults);
    keys.merge(AllKeys(ControlFaults));
    keys.merge(AllKeys(ConfigurationFaults));
    const std::regex row(R"(\n\| `([a-zA-Z_.\[\]]+)`)");
    for (const char* name :
         {"reference/SETTINGS.md", "reference/CONFIGURATION.md"}) {
      const std::string page = Page(name);
      for (std::sregex_iterator match(page.begin(), page.end(), row), end;
           match != end; ++match) {
        INFO(match->str(1));
        CHECK(keys.count(match->str(1)) == 1);
      }
    }
  }
  SECTION("name every configuration key") {
    const std::string page = Page("reference/CONFIGURATION.md");
    const std::set<std::string> keys = AllKeys(ConfigurationFaults);
    CHECK(keys.size() > 25);
    for (const std::string& key : keys) {
      INFO(key);
      CHECK(Mentions(page, key));
    }
  }
  SECTION("name every refusal reason with its number and status") {
    const std::string page = Page("REFUSALS.md");
    int reasons = 0;
    for (int number = 100; number < 1000; ++number) {
      const auto reason = static_cast<RefusalReason>(number);
      const std::string name(ToString(reason));
      if (reason != RefusalReason::kInternal && name == "internal") {
        continue;
      }
      ++reasons;
      std::ostringstream row;
      row << "| " << number << " | " << name << " | " << HttpStatus(reason)
          << " |";
      INFO(row.str());
      CHECK(page.find(row.str()) != std::string::npos);
    }
    CHECK(reasons >= 31);
  }
  SECTION("name every metric with its labels, and every retry reason") {
    const std::string page = Page("reference/METRICS.md");
    for (const Metric* metric : kAllMetrics) {
      const std::string row = "| `" + std::string(metric->name_) + "` | ";
      INFO(row);
      const size_t begin = page.find(row);
      REQUIRE(begin != std::string::npos);
      const std::string line =
          page.substr(begin, page.find('\n', begin) - begin);
      for (const std::string_view label : metric->labels_) {
        CHECK(Mentions(line, std::string(label)));
      }
    }
    for (const std::string& name :
         Found("src/control/control_metrics.cc",
               R"re(AppendMetric\(\s*"([a-z_]+)")re")) {
      INFO(name);
      CHECK(Mentions(page, "citronlane_control_" + name));
    }
    for (size_t i = 0; i < kRetryReasons; ++i) {
      CHECK(Mentions(page, std::string(ToString(static_cast<RetryReason>(i)))));
    }
  }
  SECTION("name every call of the administration API") {
    const std::string page = Page("reference/ADMIN-API.md");
    const std::vector<std::string> calls =
        Found("src/control/control_admin.cc",
              R"re(add\("([A-Z]+", "/v1/[a-z/*]+)")re");
    CHECK(calls.size() >= 13);
    for (std::string call : calls) {
      call = std::regex_replace(call, std::regex("\", \""), " ");
      call = std::regex_replace(call, std::regex("\\*"), "ID");
      INFO(call);
      CHECK(Mentions(page, call));
    }
  }
  SECTION("name every command and option") {
    CheckCommand(Page("reference/COMMANDS.md"), {});
  }
}

TEST_CASE("examples") {
  for (const char* deployment : {"qurak", "brazos"}) {
    const auto folder = std::filesystem::path(kRoot) / "examples" / deployment;
    for (const char* name : {"gateway", "control", "configuration"}) {
      const std::string path =
          (folder / (std::string(name) + ".json")).string();
      std::ostringstream out;
      std::ostringstream err;
      INFO(path);
      CHECK(RunCommandLine({"check", path}, out, err) == ExitCode::kSuccess);
      CHECK(err.str().empty());
      CHECK_THAT(out.str(), Catch::Contains(name));
    }
  }
}

}  // namespace citronlane
