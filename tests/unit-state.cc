#include <cstdlib>
#include <random>
#include <set>

#include <google/protobuf/stubs/logging.h>
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "citronlane/base/sha256.h"
#include "citronlane/json/parse.h"
#include "citronlane/json/value.h"
#include "citronlane/state/canonical_json.h"
#include "citronlane/state/state_limits.h"
#include "citronlane/state/state_machine.h"
#include "citronlane/state/unapplied_log.h"

namespace citronlane {
namespace {

using Claimed = wire::ClaimReply;
using Outcome = wire::ConfigResult;

// Applies commands to a state machine as a leader does.
struct Driver {
  StateMachine state_;
  StateLimits limits_;
  uint64_t index_ = 0;
  uint64_t time_ms_ = 1;
  std::vector<std::string> log_;

  wire::StateResult Run(wire::StateCommand command) {
    command.set_time_ms(time_ms_);
    log_.push_back(command.SerializeAsString());
    return state_.Apply(++index_, log_.back());
  }
  Outcome Change(uint64_t base,
                 const std::string& id,
                 const std::string& operator_name,
                 const std::string& patch) {
    wire::StateCommand command;
    wire::ConfigChange* change = command.mutable_change();
    change->set_base_version(base);
    change->set_change_id(id);
    change->set_operator_name(operator_name);
    change->set_patch(patch);
    change->set_digest(Sha256Hex(patch));
    change->set_history_versions(limits_.history_versions_);
    change->set_change_id_window_ms(limits_.change_id_window_ms_);
    return Run(command).config();
  }
  Outcome Rollback(uint64_t to) {
    wire::StateCommand command;
    wire::ConfigChange* change = command.mutable_change();
    change->set_base_version(state_.config().version());
    change->set_change_id("rollback-" + std::to_string(index_));
    change->set_rollback_to(to);
    change->set_history_versions(limits_.history_versions_);
    return Run(command).config();
  }
  bool Register(const std::string& name, uint64_t incarnation) {
    wire::StateCommand command;
    command.mutable_register_gateway()->mutable_gateway()->set_name(name);
    command.mutable_register_gateway()->mutable_gateway()->set_incarnation(
        incarnation);
    command.mutable_register_gateway()->set_claim_retention_ms(
        limits_.claim_retention_ms_);
    return Run(command).done();
  }
  void RemoveGateway(const std::string& name, uint64_t incarnation) {
    wire::StateCommand command;
    command.mutable_forget_gateway()->set_name(name);
    command.mutable_forget_gateway()->set_incarnation(incarnation);
    command.mutable_forget_gateway()->set_claim_retention_ms(
        limits_.claim_retention_ms_);
    Run(command);
  }
  Claimed Claim(const std::string& gateway,
                uint64_t incarnation,
                uint64_t id,
                const std::string& key = "k",
                const std::string& body = "body") {
    wire::StateCommand command;
    wire::ClaimCommand* claim = command.mutable_claim();
    claim->mutable_gateway()->set_name(gateway);
    claim->mutable_gateway()->set_incarnation(incarnation);
    claim->set_account("shop");
    claim->set_key(key);
    claim->set_claim_id(id);
    claim->set_body_digest(body);
    claim->set_max_claims(limits_.max_claims_);
    return Run(command).claim();
  }
  bool Finish(const std::string& gateway,
              uint64_t incarnation,
              uint64_t id,
              bool release,
              const std::string& answer = "answer",
              const std::string& key = "k") {
    wire::StateCommand command;
    wire::FinishCommand* finish = command.mutable_finish();
    finish->mutable_gateway()->set_name(gateway);
    finish->mutable_gateway()->set_incarnation(incarnation);
    finish->set_account("shop");
    finish->set_key(key);
    finish->set_claim_id(id);
    finish->set_release(release);
    finish->set_status(200);
    finish->set_answer(answer);
    finish->set_answer_bytes(limits_.answer_bytes_);
    finish->set_total_answer_bytes(limits_.total_answer_bytes_);
    finish->set_retention_ms(release ? limits_.release_retention_ms_
                                     : limits_.claim_retention_ms_);
    return Run(command).done();
  }
  std::vector<wire::SpendShare> Report(const std::string& gateway,
                                       uint64_t sequence,
                                       uint64_t spent,
                                       int refusals = 0) {
    wire::StateCommand command;
    wire::ReportCommand* report = command.mutable_report();
    report->mutable_gateway()->set_name(gateway);
    report->mutable_gateway()->set_incarnation(1);
    report->set_sequence(sequence);
    report->set_max_refusals(4);
    report->set_share_valid_ms(5000);
    wire::ClassSpend* spend = report->add_spend();
    spend->set_class_name("chat");
    spend->set_spent(spent);
    spend->set_rate(1000);
    wire::ClassLimit* limit = report->add_limits();
    limit->set_class_name("chat");
    limit->set_limit_per_hour(10000);
    for (int i = 0; i < refusals; ++i) {
      report->add_refusals()->set_id(gateway + std::to_string(sequence + i));
    }
    const auto result = Run(command);
    return {result.shares().begin(), result.shares().end()};
  }
};

}  // namespace

TEST_CASE("configuration history") {
  Driver driver;
  REQUIRE(driver.Change(0, "c1", "ana", R"({"a":1,"b":{"x":1}})").version() ==
          1);

  SECTION("of 50 changes on one base version one wins") {
    int winners = 0;
    int conflicts = 0;
    for (int i = 0; i < 50; ++i) {
      const std::string who = "op" + std::to_string(i);
      const Outcome result = driver.Change(1, "race-" + who, who,
                                           R"({"a":)" + who.substr(2) + "}");
      winners += result.outcome() == Outcome::COMMITTED ? 1 : 0;
      conflicts += result.outcome() == Outcome::CONFLICT &&
                           result.winner_operator() == "op0" &&
                           result.winner_change_id() == "race-op0" &&
                           result.present_version() == 2
                       ? 1
                       : 0;
    }
    CHECK(winners == 1);
    CHECK(conflicts == 49);
    CHECK(driver.state_.config().version() == 2);
    CHECK(driver.state_.config().document() == R"({"a":0,"b":{"x":1}})");
  }
  SECTION("a resend gets the first result, also after later changes") {
    const Outcome first = driver.Change(1, "c2", "ana", R"({"a":2})");
    driver.Change(2, "c3", "ben", R"({"a":3})");
    const Outcome again = driver.Change(1, "c2", "ana", R"({"a":2})");
    CHECK(again.SerializeAsString() == first.SerializeAsString());
    CHECK(again.version() == 2);
    CHECK(driver.state_.config().version() == 3);
    SECTION("also a change that lost") {
      const Outcome lost = driver.Change(1, "c4", "eve", R"({"a":9})");
      REQUIRE(lost.winner_change_id() == "c2");
      driver.Change(3, "c5", "ana", R"({"a":5})");
      CHECK(driver.Change(1, "c4", "eve", R"({"a":9})").SerializeAsString() ==
            lost.SerializeAsString());
    }
    SECTION("but not with other content") {
      CHECK(driver.Change(3, "c2", "ana", R"({"a":7})").outcome() ==
            Outcome::CHANGE_ID_REUSED);
    }
    SECTION("for exactly the change id window") {
      driver.time_ms_ += driver.limits_.change_id_window_ms_ - 1;
      CHECK(driver.Change(1, "c2", "ana", R"({"a":2})").version() == 2);
      driver.time_ms_ += 1;
      CHECK(driver.Change(1, "c2", "ana", R"({"a":2})").outcome() ==
            Outcome::CONFLICT);
    }
  }
  SECTION("a malformed change or one with a future base has no effect") {
    CHECK(driver.Change(1, "x1", "ana", "{").outcome() == Outcome::INVALID);
    CHECK(driver.Change(1, "x2", "ana", "[]").outcome() == Outcome::INVALID);
    CHECK(driver.Change(9, "x3", "ana", "{}").outcome() ==
          Outcome::UNKNOWN_VERSION);
    CHECK(driver.state_.config().version() == 1);
  }
  SECTION("a rollback is a new version with the old document") {
    const std::string old = driver.state_.config().document();
    driver.Change(1, "c2", "ana", R"({"b":null,"c":[1,{"d":null}]})");
    driver.Change(2, "c3", "ana", R"({"c":"text"})");
    REQUIRE(driver.state_.config().DocumentAt(1) == old);
    CHECK(driver.Rollback(1).version() == 4);
    CHECK(driver.state_.config().document() == old);
    CHECK(driver.state_.config().Find(4)->rollback_to() == 1);
    CHECK(driver.Rollback(77).outcome() == Outcome::UNKNOWN_VERSION);
  }
  SECTION("the history is bounded") {
    driver.limits_.history_versions_ = 3;
    for (int i = 1; i < 10; ++i) {
      driver.Change(i, "n" + std::to_string(i), "ana",
                    R"({"a":)" + std::to_string(i) + "}");
    }
    CHECK(driver.state_.config().history().size() == 3);
    CHECK(driver.state_.config().Find(7) == nullptr);
    CHECK(driver.state_.config().DocumentAt(8).has_value());
  }
}

TEST_CASE("merge patches") {
  SECTION("turn any document into any other") {
    setenv("RC_PARAMS", "seed=4242 max_success=300", 1);
    const auto random_value = [](auto& self, int depth) -> JsonValue {
      const int kind = *rc::gen::inRange(0, depth > 0 ? 5 : 3);
      if (kind < 3) {
        return kind == 0   ? JsonValue::Bool(true)
               : kind == 1 ? JsonValue::Number(*rc::gen::inRange(0, 3))
                           : JsonValue::String("t");
      }
      JsonValue value = kind == 3 ? JsonValue::Array() : JsonValue::Object();
      for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
        if (kind == 3) {
          value.Append(self(self, depth - 1));
        } else {
          value.Set(
              std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4))),
              self(self, depth - 1));
        }
      }
      return value;
    };
    CHECK(rc::check([&random_value] {
      JsonValue from = JsonValue::Object();
      JsonValue to = JsonValue::Object();
      for (const char* name : {"p", "q", "r"}) {
        from.Set(name, random_value(random_value, 3));
        to.Set(name, random_value(random_value, 3));
      }
      const JsonValue patch =
          DiffMergePatch(SortMembers(from), SortMembers(to));
      JsonValue result = from;
      ApplyMergePatch(patch, &result);
      RC_ASSERT(CanonicalJson(result) == CanonicalJson(to));
    }));
  }
}

TEST_CASE("claims") {
  Driver driver;
  REQUIRE(driver.Register("g1", 1));
  REQUIRE(driver.Register("g2", 1));
  REQUIRE(driver.Claim("g1", 1, 1).result() == Claimed::GRANTED);

  SECTION("a key is granted to one call") {
    CHECK(driver.Claim("g1", 1, 1).result() == Claimed::GRANTED);
    CHECK(driver.Claim("g1", 1, 2).result() == Claimed::RUNNING);
    CHECK(driver.Claim("g2", 1, 1).result() == Claimed::RUNNING);
    CHECK(driver.Claim("g2", 1, 2, "k", "other").result() ==
          Claimed::KEY_REUSED);
    CHECK(driver.Claim("g2", 1, 3, "k2").result() == Claimed::GRANTED);
  }
  SECTION("an unregistered gateway gets none") {
    CHECK(driver.Claim("g3", 1, 1, "k3").result() == Claimed::UNAVAILABLE);
    CHECK(driver.Claim("g1", 2, 1, "k3").result() == Claimed::UNAVAILABLE);
  }
  SECTION("finished gives the stored answer to all") {
    CHECK_FALSE(driver.Finish("g2", 1, 1, false));
    CHECK_FALSE(driver.Finish("g1", 1, 2, false));
    REQUIRE(driver.Finish("g1", 1, 1, false));
    CHECK(driver.Finish("g1", 1, 1, false));
    const Claimed stored = driver.Claim("g2", 1, 9);
    CHECK(stored.result() == Claimed::FINISHED);
    CHECK(stored.answer() == "answer");
    CHECK_FALSE(driver.Finish("g1", 1, 1, true));
    CHECK(driver.Claim("g1", 1, 1).result() == Claimed::FINISHED);
  }
  SECTION("a finished key is removed only after its retention") {
    driver.Finish("g1", 1, 1, false);
    driver.time_ms_ += driver.limits_.claim_retention_ms_ - 1;
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::FINISHED);
    driver.time_ms_ += 1;
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::GRANTED);
    CHECK(driver.state_.claims().answer_bytes() == 0);
  }
  SECTION("release, only by the owner, frees the key") {
    REQUIRE(driver.Finish("g2", 1, 1, true));  // Does not affect g1's claim.
    CHECK(driver.Claim("g2", 1, 5).result() == Claimed::RUNNING);
    REQUIRE(driver.Finish("g1", 1, 1, true));
    SECTION("a late duplicate of the released call gets nothing") {
      CHECK(driver.Claim("g1", 1, 1).result() == Claimed::UNAVAILABLE);
      CHECK(driver.Claim("g2", 1, 6).result() == Claimed::GRANTED);
    }
    SECTION("a late duplicate of the release frees no later claim") {
      REQUIRE(driver.Claim("g1", 1, 2).result() == Claimed::GRANTED);
      CHECK(driver.Finish("g1", 1, 1, true));
      CHECK(driver.Claim("g2", 1, 6).result() == Claimed::RUNNING);
    }
    SECTION("a release that overtakes its claim holds") {
      CHECK(driver.Finish("g1", 1, 7, true, "", "k7"));
      CHECK(driver.Claim("g1", 1, 7, "k7").result() == Claimed::UNAVAILABLE);
      CHECK(driver.Claim("g1", 1, 8, "k7").result() == Claimed::GRANTED);
    }
  }
  SECTION("a key whose owner is lost is not granted during its retention") {
    SECTION("owner restarted") {
      REQUIRE(driver.Register("g1", 2));
    }
    SECTION("owner removed") {
      driver.RemoveGateway("g1", 1);
    }
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::OWNER_LOST);
    driver.time_ms_ += driver.limits_.claim_retention_ms_ - 1;
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::OWNER_LOST);
    driver.time_ms_ += 1;
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::GRANTED);
  }
  SECTION("an owner that comes back may finish") {
    driver.RemoveGateway("g1", 1);
    REQUIRE(driver.Claim("g2", 1, 9).result() == Claimed::OWNER_LOST);
    REQUIRE(driver.Register("g1", 1));
    driver.time_ms_ += driver.limits_.claim_retention_ms_;
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::RUNNING);
    CHECK(driver.Finish("g1", 1, 1, false));
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::FINISHED);
  }
  SECTION("an earlier incarnation can't come back") {
    REQUIRE(driver.Register("g1", 3));
    CHECK_FALSE(driver.Register("g1", 2));
  }
  SECTION("an answer over the limits is dropped, its key kept") {
    driver.limits_.answer_bytes_ = 8;
    REQUIRE(driver.Finish("g1", 1, 1, false, "nine bytes"));
    CHECK(driver.Claim("g2", 1, 9).answer_dropped());
    driver.limits_.total_answer_bytes_ = 4;
    driver.Claim("g2", 1, 10, "k2");
    REQUIRE(driver.Finish("g2", 1, 10, false, "12345", "k2"));
    CHECK(driver.Claim("g1", 1, 11, "k2").answer_dropped());
  }
  SECTION("a full table refuses new claims and removes none") {
    driver.limits_.max_claims_ = 1;
    CHECK(driver.Claim("g2", 1, 9, "k2").result() == Claimed::UNAVAILABLE);
    CHECK(driver.Claim("g2", 1, 9).result() == Claimed::RUNNING);
  }
}

TEST_CASE("spend and refusals") {
  Driver driver;

  SECTION("spent and shares together stay under the limit") {
    uint64_t spent = 0;
    std::map<std::string, uint64_t> shares;
    std::mt19937 random(7);
    for (uint64_t round = 1; round < 400; ++round) {
      driver.time_ms_ += 100;
      const std::string gateway = "g" + std::to_string(random() % 5);
      const uint64_t used =
          shares[gateway] == 0 ? 0 : random() % (shares[gateway] + 1);
      spent += used;
      shares[gateway] = static_cast<uint64_t>(
          driver.Report(gateway, round, used).at(0).amount());
      uint64_t held = 0;
      for (const auto& share : shares) {
        held += share.second;
      }
      REQUIRE(spent + held <= 10000);
    }
    CHECK(driver.state_.spend().Spent("chat") == spent);
    CHECK(spent > 9000);
  }
  SECTION("a resent report counts once and gets the same shares") {
    const auto first = driver.Report("g", 1, 100);
    const auto again = driver.Report("g", 1, 100);
    CHECK(driver.state_.spend().Spent("chat") == 100);
    CHECK(again.at(0).amount() == first.at(0).amount());
  }
  SECTION("the spend starts at zero in the next hour") {
    driver.Report("g", 1, 100);
    driver.time_ms_ += 3600000;
    driver.Report("g", 2, 1);
    CHECK(driver.state_.spend().Spent("chat") == 1);
  }
  SECTION("the journal keeps one record per id and counts dropped ones") {
    driver.Report("g", 1, 0, 3);
    driver.Report("g", 2, 0, 3);
    CHECK(driver.state_.refusals().size() == 4);
    CHECK(driver.state_.refusals().dropped_here() == 0);
    driver.Report("h", 1, 0, 2);
    CHECK(driver.state_.refusals().dropped_here() == 2);
    CHECK(driver.state_.refusals().Find("g1") == nullptr);
    CHECK(driver.state_.refusals().Find("h2") != nullptr);
  }
}

TEST_CASE("snapshots") {
  Driver driver;
  const auto random_run = [&driver](std::mt19937* random, int commands) {
    const auto below = [random](uint32_t limit) { return (*random)() % limit; };
    for (int i = 0; i < commands; ++i) {
      driver.time_ms_ += below(40000);
      const std::string gateway = "g" + std::to_string(below(3));
      const std::string key = "k" + std::to_string(below(6));
      wire::StateCommand command;
      switch (below(8)) {
        case 0:
          driver.Change(driver.state_.config().version() - below(2),
                        "c" + std::to_string(below(300)), gateway,
                        R"({"a":)" + std::to_string(below(9)) + "}");
          break;
        case 1:
          driver.Register(gateway, 1 + below(3));
          break;
        case 2:
          driver.RemoveGateway(gateway, 1 + below(3));
          break;
        case 3:
          driver.Claim(gateway, 1 + below(3), below(4), key);
          break;
        case 4:
          driver.Finish(gateway, 1 + below(3), below(4), below(2) == 0, "a",
                        key);
          break;
        case 5:
          driver.Report(gateway, i, below(50), 1);
          break;
        case 6:
          command.mutable_servers()->add_servers()->set_server(key);
          command.mutable_servers()->mutable_servers(0)->set_leaving(true);
          driver.Run(command);
          break;
        default:
          command.mutable_take_lead()->set_node(below(3));
          command.mutable_take_lead()->set_term(i);
          driver.Run(command);
          break;
      }
    }
  };

  SECTION("and the log after them give the bytes of a full replay") {
    for (uint32_t seed = 1; seed <= 60; ++seed) {
      INFO("seed " << seed);
      std::mt19937 random(seed);
      random_run(&random, 40);
    }
    for (const size_t cut : {0, 1, 700, 1500, 2399}) {
      StateMachine replayed;
      StateMachine restored;
      Error error;
      for (size_t i = 0; i < cut; ++i) {
        replayed.Apply(i + 1, driver.log_[i]);
      }
      REQUIRE(restored.InstallSnapshot(replayed.TakeSnapshot(), &error));
      for (size_t i = cut; i < driver.log_.size(); ++i) {
        REQUIRE(restored.Apply(i + 1, driver.log_[i]).SerializeAsString() ==
                replayed.Apply(i + 1, driver.log_[i]).SerializeAsString());
      }
      CHECK(restored.TakeSnapshot() == driver.state_.TakeSnapshot());
      CHECK(restored.history_hash() == driver.state_.history_hash());
    }
  }
  SECTION("hold the configuration of 500 changes") {
    for (int i = 0; i < 500; ++i) {
      driver.Change(i, "c" + std::to_string(i), "ana",
                    R"({"v":)" + std::to_string(i) + "}");
    }
    StateMachine restored;
    Error error;
    REQUIRE(restored.InstallSnapshot(driver.state_.TakeSnapshot(), &error));
    CHECK(restored.config().version() == 500);
    CHECK(restored.config().digest() == driver.state_.config().digest());
  }
  SECTION("that are damaged change nothing") {
    driver.Change(0, "c", "ana", R"({"v":1})");
    const std::string good = driver.state_.TakeSnapshot();
    Error error;
    for (size_t at = 0; at < good.size(); ++at) {
      std::string bad = good;
      bad[at] ^= 1;
      StateMachine other;
      REQUIRE_FALSE(other.InstallSnapshot(bad, &error));
      REQUIRE(other.config().version() == 0);
    }
  }
  SECTION("can be restored after malformed commands") {
    google::protobuf::SetLogHandler(nullptr);
    std::mt19937 random(99);
    random_run(&random, 300);
    for (uint64_t index = 301; index < 10000; ++index) {
      std::string bytes = driver.log_[random() % driver.log_.size()];
      for (int flips = static_cast<int>(random() % 4); flips >= 0; --flips) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      driver.state_.Apply(index, bytes);
    }
    StateMachine restored;
    Error error;
    const std::string snapshot = driver.state_.TakeSnapshot();
    REQUIRE(restored.InstallSnapshot(snapshot, &error));
    CHECK(restored.TakeSnapshot() == snapshot);
  }
  SECTION("a command that can not be parsed has no effect") {
    CHECK_FALSE(driver.state_.Apply(1, "\xff\xff").done());
  }
}

TEST_CASE("unapplied log") {
  UnappliedLog log;
  wire::StateCommand change;
  change.mutable_change()->set_base_version(6);
  wire::StateCommand forget;
  forget.mutable_forget_gateway()->set_name("g");
  forget.mutable_forget_gateway()->set_incarnation(4);
  log.OnAppended(10, change.SerializeAsString());
  log.OnAppended(11, forget.SerializeAsString());

  SECTION("counts commands that are not committed yet") {
    CHECK(log.NewestVersion(6) == 7);
    CHECK(log.RemovesGateway("g", 4));
    CHECK_FALSE(log.RemovesGateway("g", 5));
    CHECK_FALSE(log.RemovesGateway("h", 4));
  }
  SECTION("drops truncated entries") {
    log.OnTruncated(10);
    CHECK(log.NewestVersion(6) == 6);
    CHECK_FALSE(log.RemovesGateway("g", 4));
  }
  SECTION("drops applied entries") {
    log.OnApplied(10);
    CHECK(log.NewestVersion(6) == 6);
    CHECK(log.RemovesGateway("g", 4));
  }
  SECTION("a registration removes earlier incarnations") {
    wire::StateCommand command;
    command.mutable_register_gateway()->mutable_gateway()->set_name("h");
    command.mutable_register_gateway()->mutable_gateway()->set_incarnation(3);
    log.OnAppended(12, command.SerializeAsString());
    CHECK(log.RemovesGateway("h", 2));
    CHECK_FALSE(log.RemovesGateway("h", 3));
  }
}

}  // namespace citronlane
