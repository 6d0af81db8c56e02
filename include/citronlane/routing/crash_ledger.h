#ifndef CITRONLANE_ROUTING_CRASH_LEDGER_H_
#define CITRONLANE_ROUTING_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
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
/// A segment may be part of many requests, so a false block of it costs more.
/// It needs one crash more, and another feature that servers have survived
/// meanwhile: while no request at all is served, no segment is the reason.
/// Gateways are asked for survivals of a segment from its first crash on.
///
/// After a block one more crash blocks the feature again, for twice as long.
/// Until a server has survived a blocked segment, one gateway at a time may try
/// one request.
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
    kBlock,
  };

  /// Records a crash, merged with earlier reports on the same server. Returns
  /// what is blocked from now on.
  std::vector<SuspectRequest> OnCrash(const ServerCrash& crash, TimePoint now);
  /// Records that a server ran a request with the feature at `at` and did not
  /// crash, which clears the feature of the crashes before.
  Cleared OnSurvived(const RequestFeature& feature, TimePoint at);
  /// Takes over a block from another ledger, unless this one has its own or
  /// knows that a server survived the feature after its last crash.
  void Adopt(const SuspectRequest& request, TimePoint now);
  /// A gateway asks to send a request with a segment whose block is over.
  /// Returns whether it may; another one may have been allowed to.
  bool GrantTrial(std::string_view segment,
                  std::string_view gateway,
                  TimePoint now);
  /// Forgets everything; all requests are unblocked.
  void Clear();

  /// Features that are or were blocked, and those of which gateways should
  /// report survivals; at most kMaxListed.
  std::vector<SuspectRequest> Listed() const;
  /// Whether requests with the feature are blocked.
  bool IsBlocked(const RequestFeature& feature, TimePoint now) const;
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

  /// Time for the gateway that may send a trial request to get one; then
  /// another gateway, or the same again, may be allowed to.
  static constexpr Duration kTrialTime = std::chrono::seconds(5);
  static constexpr size_t kMaxListed = 256;
  /// Requests kept of one crash; a server runs and queues about as many.
  static constexpr size_t kMaxRunning = 256;
  /// Segments kept of one crash, those of all its requests together.
  static constexpr size_t kMaxSegments = 1024;

 private:
  struct Block {
    /// Its entry in the list.
    SuspectRequest suspect_;
    Duration length_{};
    /// Until when the gateway that is named may try a request.
    TimePoint trial_until_;
  };

  using Evidence = std::vector<const ServerCrash*>;

  void Expire(TimePoint now);
  void Forget(uint64_t crash);
  void Merge(const ServerCrash& crash);
  void AddFeature(const RequestFeature& feature, uint64_t crash);
  /// Crashes that count against the feature, in the order of time.
  Evidence EvidenceAgainst(const RequestFeature& feature) const;
  /// Whether another feature of the crash is or was blocked.
  bool IsExplained(uint64_t crash, const RequestFeature& feature) const;
  /// Whether the feature has more crashes than each other one of the crash that
  /// it must be told apart from.
  bool Leads(const RequestFeature& feature,
             size_t crashes,
             const ServerCrash& crash) const;
  /// Whether servers crashed lately that did not run the feature.
  bool HasBackground(const RequestFeature& feature,
                     const Evidence& evidence) const;
  /// Whether a server survived another feature since the first of the crashes.
  bool OthersSurvived(const RequestFeature& feature,
                      const Evidence& evidence) const;
  bool MustBlock(const RequestFeature& feature, const Evidence& evidence) const;
  bool MustBlockFirst(const RequestFeature& feature,
                      const Evidence& evidence) const;
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
  std::map<RequestFeature, Survival> survived_;
  uint64_t number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CRASH_LEDGER_H_
