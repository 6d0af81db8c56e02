// Guards against a gateway that takes a broken connection for the end of a
// server, that forgets what it has seen when the leader changes, or that hashes
// bodies without need.

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "citronlane/net/crash_codec.h"
#include "citronlane/observe/event_log.h"
#include "citronlane/relay/crash_watch.h"
#include "fleet.pb.h"

namespace citronlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::fleet::CrashReports;

/// A gateway's watch with a clock, probes and a leader of the test.
class Watch {
 public:
  Watch() : watch_(&log_, HooksOf()) {}

  void Break(const std::string& server, const std::string& content) {
    watch_.OnBroken(server, "address-of-" + server, {content, 5, {}});
  }
  void Probed(const std::string& server, bool is_refused) {
    const auto done = std::move(probes_.at("address-of-" + server));
    probes_.erase("address-of-" + server);
    done(is_refused);
  }
  void List(const std::string& content, Duration blocked) {
    wire::fleet::SuspectRequests suspects;
    SuspectRequest request;
    request.feature_ = {content, 5};
    request.crashes_ = 3;
    request.last_crash_ = now_;
    request.blocked_until_ = now_ + blocked;
    EncodeSuspects({&request, 1}, now_, &suspects);
    watch_.Take(suspects);
  }
  bool IsBlocked(const std::string& content, uint64_t bytes = 5) {
    const RequestFingerprint request{content, bytes, {}};
    return watch_.IsBlocked(bytes, [&]() -> const RequestFingerprint& {
      ++hashed_;
      return request;
    });
  }
  void Survive(const std::string& content) {
    const RequestFingerprint request{content, 5, {}};
    watch_.OnSurvived(5, [&]() -> const RequestFingerprint& {
      ++hashed_;
      return request;
    });
  }

  /// A segment whose block ended, or that is not blocked yet.
  void ListSegment(const std::string& segment,
                   TimePoint last_crash,
                   const std::string& trial_gateway = "") {
    wire::fleet::SuspectRequests suspects;
    SuspectRequest request;
    request.feature_ = SegmentFeature(segment);
    request.last_crash_ = last_crash;
    request.needs_trial_ = needs_trial_;
    request.trial_gateway_ = trial_gateway;
    EncodeSuspects({&request, 1}, now_, &suspects);
    watch_.Take(suspects);
  }
  bool IsSegmentBlocked(bool is_call) {
    return !watch_
                .BlockedSegment(std::vector<std::string>{"ok", "bad"}, is_call)
                .empty();
  }

  bool needs_trial_ = false;
  TimePoint now_{seconds(1000)};
  bool has_leader_ = true;
  int hashed_ = 0;
  std::map<std::string, std::function<void(bool)>> probes_;
  std::vector<CrashReports> sent_;

 private:
  CrashWatch::Hooks HooksOf() {
    CrashWatch::Hooks hooks;
    hooks.send_ = [this](const CrashReports& reports) {
      sent_.push_back(reports);
    };
    hooks.has_leader_ = [this] { return has_leader_; };
    hooks.probe_ = [this](const std::string& address,
                          std::function<void(bool)> done) {
      probes_[address] = std::move(done);
    };
    hooks.now_ = [this] { return now_; };
    hooks.gateway_ = "own";
    return hooks;
  }

  EventLog log_{"gateway",
                {[](std::string_view) { return true; }, [this] { return now_; },
                 [] { return int64_t{0}; }}};

 public:
  CrashWatch watch_;
};

}  // namespace

TEST_CASE("broken calls") {
  Watch watch;

  SECTION("are reported together once the server refuses connections") {
    watch.Break("s", "a");
    watch.Break("s", "b");
    CHECK(watch.probes_.size() == 1);
    CHECK(watch.sent_.empty());
    watch.now_ += milliseconds(40);
    watch.Probed("s", true);
    REQUIRE(watch.sent_.size() == 1);
    const auto& crash = watch.sent_[0].crashes(0);
    CHECK(crash.server() == "s");
    CHECK(crash.age_ms() == 40);
    REQUIRE(crash.running_size() == 2);
    CHECK(crash.running(0).digest() == "a");
    CHECK(crash.running(1).body_bytes() == 5);
  }
  SECTION("are reported at once when the server is known to have ended") {
    watch.Break("s", "a");
    watch.Probed("s", true);
    watch.Break("s", "b");
    CHECK(watch.probes_.empty());
    REQUIRE(watch.sent_.size() == 2);
    CHECK(watch.sent_[1].crashes(0).running(0).digest() == "b");
  }
  SECTION("are not reported while the server accepts connections") {
    watch.Break("s", "a");
    watch.Probed("s", false);
    CHECK(watch.sent_.empty());
    // The next one is examined again.
    watch.Break("s", "a");
    CHECK(watch.probes_.size() == 1);
  }
}

TEST_CASE("blocked requests") {
  Watch watch;

  SECTION("are those of the leader's list, until their time is over") {
    watch.List("bad", seconds(60));
    CHECK(watch.IsBlocked("bad"));
    CHECK_FALSE(watch.IsBlocked("good"));
    CHECK(watch.watch_.CountBlocked() == 1);
    watch.now_ += seconds(61);
    CHECK_FALSE(watch.IsBlocked("bad"));
  }
  SECTION("are compared only when their size is that of a listed one") {
    CHECK_FALSE(watch.IsBlocked("good"));
    watch.List("bad", seconds(60));
    CHECK_FALSE(watch.IsBlocked("good", 6));
    CHECK(watch.hashed_ == 0);
  }
  SECTION("are found by the gateway alone while there is no leader") {
    for (const char* server : {"s1", "s2", "s3"}) {
      watch.now_ += seconds(1);
      watch.Break(server, "bad");
      watch.Probed(server, true);
    }
    CHECK_FALSE(watch.IsBlocked("bad"));
    watch.has_leader_ = false;
    CHECK(watch.IsBlocked("bad"));
    CHECK_FALSE(watch.IsBlocked("good"));
  }
}

// Guards against a trial by each gateway, and by each request of one.
TEST_CASE("a segment whose block is over") {
  Watch watch;
  watch.needs_trial_ = true;
  watch.ListSegment("bad", watch.now_);

  SECTION("stays blocked, and the leader is asked now and then") {
    CHECK(watch.IsSegmentBlocked(true));
    CHECK(watch.IsSegmentBlocked(false));
    REQUIRE(watch.sent_.size() == 1);
    CHECK(watch.sent_[0].trial_segment() == "bad");
    CHECK(watch.sent_[0].gateway() == "own");
    watch.now_ += seconds(1);
    CHECK(watch.IsSegmentBlocked(false));
    CHECK(watch.sent_.size() == 2);
  }
  SECTION("stays blocked while there is no leader to ask") {
    watch.has_leader_ = false;
    CHECK(watch.IsSegmentBlocked(true));
  }
  SECTION("may be tried by one call of the gateway that is named") {
    watch.ListSegment("bad", watch.now_, "other");
    CHECK(watch.IsSegmentBlocked(true));
    watch.ListSegment("bad", watch.now_, "own");
    CHECK_FALSE(watch.IsSegmentBlocked(false));
    CHECK_FALSE(watch.IsSegmentBlocked(true));
    CHECK(watch.IsSegmentBlocked(false));
    // The list was sent again for another reason.
    watch.ListSegment("bad", watch.now_, "own");
    CHECK(watch.IsSegmentBlocked(true));
  }
  // Guards against a fleet of one gateway that never tries again when its trial
  // request has ended without a result.
  SECTION("may be tried again by the same gateway when its trial is over") {
    watch.ListSegment("bad", watch.now_, "own");
    CHECK_FALSE(watch.IsSegmentBlocked(true));
    watch.now_ += seconds(4);
    watch.ListSegment("bad", watch.now_, "own");
    CHECK(watch.IsSegmentBlocked(true));
    watch.now_ += seconds(1);
    CHECK(watch.IsSegmentBlocked(true));
    watch.ListSegment("bad", watch.now_, "own");
    CHECK_FALSE(watch.IsSegmentBlocked(true));
  }
  SECTION("may be tried again once others had their turn") {
    watch.ListSegment("bad", watch.now_, "own");
    CHECK_FALSE(watch.IsSegmentBlocked(true));
    watch.ListSegment("bad", watch.now_, "other");
    watch.ListSegment("bad", watch.now_, "own");
    CHECK_FALSE(watch.IsSegmentBlocked(true));
  }
}

// Guards against a suspended content that is sent by several gateways at once,
// or by none.
TEST_CASE("a suspended content") {
  Watch watch;
  const RequestFingerprint request{"bad", 5, {}, false};
  using Pass = CrashWatch::Pass;
  const auto pass_of = [&watch, &request](bool is_call) {
    return watch.watch_.PassOf(
        5, [&request]() -> const RequestFingerprint& { return request; },
        is_call);
  };
  const auto list = [&watch](const std::string& trial_gateway, uint64_t trial) {
    wire::fleet::SuspectRequests suspects;
    SuspectRequest suspect;
    suspect.feature_ = {"bad", 5};
    suspect.needs_trial_ = true;
    suspect.trial_gateway_ = trial_gateway;
    suspect.trial_ = trial;
    EncodeSuspects({&suspect, 1}, watch.now_, &suspects);
    watch.watch_.Take(suspects);
  };
  CHECK(pass_of(true) == Pass::kFree);
  list("", 0);

  SECTION("waits, and the leader is asked for a trial now and then") {
    CHECK(pass_of(true) == Pass::kWait);
    CHECK(pass_of(true) == Pass::kWait);
    CHECK_FALSE(watch.IsBlocked("bad"));
    REQUIRE(watch.sent_.size() == 1);
    CHECK(watch.sent_[0].trial_content().digest() == "bad");
    CHECK(watch.sent_[0].gateway() == "own");
    watch.now_ += milliseconds(100);
    CHECK(pass_of(false) == Pass::kWait);
    CHECK(watch.sent_.size() == 2);
  }
  SECTION("may be sent once by the gateway that is named") {
    list("other", 1);
    CHECK(pass_of(true) == Pass::kWait);
    list("own", 2);
    CHECK(pass_of(false) == Pass::kTrial);
    CHECK(pass_of(true) == Pass::kTrial);
    CHECK(pass_of(true) == Pass::kWait);
    list("own", 3);
    CHECK(pass_of(true) == Pass::kTrial);
  }
  SECTION("may be sent again if the trial was not") {
    list("own", 1);
    CHECK(pass_of(true) == Pass::kTrial);
    watch.watch_.ReturnTrial(request);
    CHECK(pass_of(true) == Pass::kTrial);
  }
  SECTION("is reported as the trial when its server ends") {
    RequestFingerprint trial = request;
    trial.is_trial_ = true;
    watch.watch_.OnBroken("s", "address-of-s", trial);
    watch.sent_.clear();
    watch.Probed("s", true);
    CHECK(watch.sent_[0].crashes(0).running(0).is_trial());
  }
  SECTION("is found and tried by the gateway alone while there is no leader") {
    list("", 0);
    watch.watch_.Take({});
    for (const char* server : {"s1", "s2", "s3"}) {
      watch.Break(server, "bad");
      watch.Probed(server, true);
    }
    CHECK(pass_of(true) == Pass::kFree);
    watch.has_leader_ = false;
    CHECK(pass_of(true) == Pass::kWait);
    watch.now_ += milliseconds(500);
    CHECK(pass_of(true) == Pass::kTrial);
    CHECK(pass_of(true) == Pass::kWait);
  }
}

TEST_CASE("reports to the leader") {
  Watch watch;

  SECTION("name the survival of a segment once after each crash") {
    const std::vector<std::string> segments{"ok", "bad"};
    watch.watch_.OnSegmentsSurvived(segments);
    CHECK(watch.sent_.empty());
    watch.ListSegment("bad", watch.now_);
    watch.now_ += milliseconds(10);
    watch.watch_.OnSegmentsSurvived(segments);
    watch.watch_.OnSegmentsSurvived(segments);
    REQUIRE(watch.sent_.size() == 1);
    CHECK(watch.sent_[0].survivals(0).segment() == "bad");
    watch.now_ += milliseconds(10);
    watch.ListSegment("bad", watch.now_);
    watch.now_ += milliseconds(10);
    watch.watch_.OnSegmentsSurvived(segments);
    CHECK(watch.sent_.size() == 2);
  }

  SECTION("name survivals of listed requests only") {
    watch.Survive("good");
    CHECK(watch.sent_.empty());
    watch.List("bad", Duration());
    watch.Survive("good");
    CHECK(watch.sent_.empty());
    watch.Survive("bad");
    REQUIRE(watch.sent_.size() == 1);
    CHECK(watch.sent_[0].survivals(0).request().digest() == "bad");
  }
  SECTION("are repeated to a new leader, with the list of the previous one") {
    watch.watch_.ReportAll();
    CHECK(watch.sent_.empty());
    watch.Break("s", "a");
    watch.Probed("s", true);
    watch.List("bad", seconds(60));
    watch.Survive("bad");
    watch.sent_.clear();
    watch.now_ += seconds(2);
    watch.watch_.ReportAll();
    REQUIRE(watch.sent_.size() == 1);
    CHECK(watch.sent_[0].crashes(0).server() == "s");
    CHECK(watch.sent_[0].crashes(0).age_ms() == 2000);
    CHECK(watch.sent_[0].survivals(0).age_ms() == 2000);
    // Rounded up when it was sent and when it is sent on.
    CHECK(watch.sent_[0].suspects().requests(0).blocked_ms() == 58002);
  }
}

}  // namespace citronlane
