#ifndef CITRONLANE_ROUTING_CRASH_LEDGER_H_
#define CITRONLANE_ROUTING_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/server_crash.h"
#include "citronlane/routing/suspect_request.h"
#include "citronlane/serving/request_feature.h"

namespace citronlane {

/// Finds what requests that crash each backend server that runs them have in
/// common, and blocks requests with that feature for a while: their content, or
/// a prompt segment.
///
/// A crash ends all requests of the server, of which at most one caused it. A
/// content is blocked after three crashes in a row under it, or four while
/// servers also crash without it, if it explains at least two of them better
/// than what ran beside it, that is, features with fewer crashes. Crashes
/// within half a second count once: the loss of a failure domain ends many
/// servers, which may all run a popular request. A run that the server survives
/// clears the feature, and crashes under a blocked feature no longer count
/// against others.
///
/// The retries of one request may end all servers of a small service within
/// half a second, and some of its runs may end well. So once the servers that
/// ended under a content, however close together, outnumber those that have
/// survived it since by as many as a block takes, it is suspended: one gateway
/// at a time may send one request as a trial. Two servers that survive it end
/// the suspension, one that crashes blocks the content.
///
/// A segment may be part of many requests, so a false block of it costs more.
/// It needs one crash more, and another feature that servers have survived
/// meanwhile: while no request at all is served, no segment is the reason.
/// Gateways are asked for survivals of a segment from its first crash on.
///
/// After a block one more crash blocks the feature again, for twice as long.
/// Until a server has survived a blocked segment, one gateway at a time may try
/// one request, too.
///
/// Reports may arrive late, repeatedly and in any order. Memory is bounded.
/// Pure: time is passed in. Not thread safe.
class CrashLedger {
 public:
  /// The latest run of a request with the feature that a server survived.
  struct Survival {
    RequestFeature feature_;
    TimePoint at_;
  };
  /// What a survival has changed.
  enum class Cleared {
    kNothing,
    /// The feature is no longer listed, but was not blocked.
    kSuspicion,
    /// The feature stays suspended until one more server survives it.
    kTrial,
    kBlock,
  };

  /// Records a crash, merged with earlier reports on the same server. Returns
  /// what is blocked from now on.
  std::vector<SuspectRequest> OnCrash(const ServerCrash& crash, TimePoint now);
  /// What the last call of OnCrash() has suspended.
  const std::vector<SuspectRequest>& suspended() const { return suspended_; }
  /// Records that a server ran a request with the feature at `at` and did not
  /// crash, which clears the feature of the crashes before.
  Cleared OnSurvived(const RequestFeature& feature, TimePoint at);
  /// Takes over a block from another ledger, unless this one has its own or
  /// knows that a server survived the feature after its last crash.
  void Adopt(const SuspectRequest& request, TimePoint now);
  /// A gateway asks to send a request with a feature that needs a trial.
  /// Returns whether it may; another one may have been allowed to.
  bool GrantTrial(const RequestFeature& feature,
                  std::string_view gateway,
                  TimePoint now);
  /// Forgets everything; all requests are unblocked.
  void Clear();

  /// Features that are or were blocked, and those of which gateways should
  /// report survivals; at most kMaxListed.
  std::vector<SuspectRequest> Listed() const;
  /// Whether requests with the feature are blocked.
  bool IsBlocked(const RequestFeature& feature, TimePoint now) const;
  /// Whether a request with the feature may be sent only as a trial.
  bool NeedsTrial(const RequestFeature& feature, TimePoint now) const;
  /// Whether anything may need a trial.
  bool HasTrials() const { return !blocks_.empty(); }
  /// Whether a server crashed under the feature that has not survived it since.
  bool IsSuspected(const RequestFeature& feature) const;
  /// Number of blocked features.
  size_t CountBlocked(TimePoint now) const;
  /// Rises whenever the result of Listed() may have changed, except by time.
  uint64_t number() const { return number_; }

  /// The latest crashes, at most `most`, the newest first.
  std::vector<ServerCrash> RecentCrashes(size_t most) const;
  /// The latest survivals reported, one for each feature.
  const std::map<RequestFeature, Survival>& survived() const {
    return survived_;
  }

  /// Crashes closer together may have one common cause.
  static constexpr Duration kIndependentDelay = std::chrono::milliseconds(500);
  /// Time for the gateway that may send a trial request to get one; then
  /// another gateway, or the same again, may be allowed to.
  static Duration TrialTime(const RequestFeature& feature);
  static constexpr size_t kMaxListed = 256;
  /// Requests kept of one crash; a server runs and queues about as many.
  static constexpr size_t kMaxRunning = 256;
  /// Segments kept of one crash, those of all its requests together.
  static constexpr size_t kMaxSegments = 1024;

 private:
  struct Block {
    /// Its entry in the list.
    SuspectRequest suspect_;
    /// Zero for a suspension.
    Duration length_{};
    /// Trials since the last crash or survival.
    uint32_t open_trials_ = 0;
    /// Survivals of a suspended content since the last crash.
    uint32_t survivals_ = 0;
    /// Until when the gateway that is named may try a request.
    TimePoint trial_until_;
  };

  using Evidence = std::vector<const ServerCrash*>;

  void Expire(TimePoint now);
  void Forget(uint64_t crash);
  void Merge(const ServerCrash& crash);
  void AddFeature(const RequestFeature& feature, uint64_t crash);
  /// Crashes under the feature after `since` that nothing else explains, in the
  /// order of time.
  Evidence CrashesSince(const RequestFeature& feature, TimePoint since) const;
  /// As above, since the last survival.
  Evidence CrashesUnder(const RequestFeature& feature) const;
  /// As above, for a content also those before a survival that have not been
  /// made up for.
  Evidence UnsettledCrashes(const RequestFeature& feature) const;
  /// Number of crashes that survivals have not made up for.
  size_t CountUnsettled(const RequestFeature& feature) const;
  void NoteSurvival(const RequestFeature& feature, TimePoint at);
  /// As CrashesUnder(), without those that may have the cause of the one
  /// before.
  Evidence EvidenceAgainst(const RequestFeature& feature) const;
  /// Whether another feature of the crash is or was blocked.
  bool IsExplained(uint64_t crash, const RequestFeature& feature) const;
  using CountHook = std::function<size_t(const RequestFeature& feature)>;
  /// Whether the feature has more crashes than each other one of the crash that
  /// it must be told apart from.
  bool Leads(const RequestFeature& feature,
             const ServerCrash& crash,
             const CountHook& count) const;
  /// Whether it leads in enough of the crashes.
  bool LeadsInMost(const RequestFeature& feature,
                   const Evidence& crashes,
                   const CountHook& count) const;
  /// Whether servers crashed lately that did not run the feature.
  bool HasBackground(const RequestFeature& feature,
                     const Evidence& evidence) const;
  /// Whether a server survived another feature since the first of the crashes.
  bool OthersSurvived(const RequestFeature& feature,
                      const Evidence& evidence) const;
  bool MustBlock(const RequestFeature& feature, const Evidence& evidence) const;
  bool MustBlockFirst(const RequestFeature& feature,
                      const Evidence& evidence) const;
  bool MustSuspend(const RequestFeature& feature) const;
  void Suspend(const RequestFeature& feature, TimePoint now);
  /// Ends suspensions for crashes of which a blocked feature has turned out to
  /// be the cause. Returns whether there were any.
  bool DropExplainedSuspensions();
  bool IsSuspended(const RequestFeature& feature) const;
  /// Whether a server crashed under a trial of the content.
  bool HasFailedTrial(const RequestFeature& feature) const;
  SuspectRequest SetBlock(const RequestFeature& feature,
                          const Evidence& evidence,
                          TimePoint now);

  /// By a number that rises with each crash.
  std::map<uint64_t, ServerCrash> crashes_;
  uint64_t last_crash_ = 0;
  std::unordered_map<std::string, uint64_t> crash_of_server_;
  std::map<RequestFeature, std::vector<uint64_t>> crashes_of_;
  /// Features with as many crashes as one needs to be listed.
  std::set<RequestFeature> listable_;
  std::map<RequestFeature, Block> blocks_;
  /// Survivals of contents since they last made up for all crashes, and until
  /// when they have done so.
  std::map<RequestFeature, std::vector<TimePoint>> survivals_;
  std::map<RequestFeature, TimePoint> settled_;
  std::vector<SuspectRequest> suspended_;
  std::map<RequestFeature, Survival> survived_;
  uint64_t number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CRASH_LEDGER_H_
