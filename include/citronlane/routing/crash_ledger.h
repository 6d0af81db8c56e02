#ifndef CITRONLANE_ROUTING_CRASH_LEDGER_H_
#define CITRONLANE_ROUTING_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "citronlane/base/time.h"
#include "citronlane/routing/server_crash.h"
#include "citronlane/routing/suspect_request.h"

namespace citronlane {

/// Finds requests whose content crashes each backend server that runs them, and
/// blocks them for a while.
///
/// A crash ends all requests of the server, of which at most one caused it. A
/// request is blocked after three crashes in a row under it, or four while
/// servers also crash without it, if it explains at least two of them better
/// than the requests beside it, those with fewer crashes. Crashes within half a
/// second count once: the loss of a failure domain ends many servers, which may
/// all run a popular request. A run that the server survives clears the
/// request, and crashes under a blocked request no longer count against others.
/// After a block one more crash blocks the request again, for twice as long.
///
/// Reports may arrive late, repeatedly and in any order. Memory is bounded.
/// Pure: time is passed in. Not thread safe.
class CrashLedger {
 public:
  /// The latest run of a request that a server survived.
  struct Survival {
    RequestFingerprint request_;
    TimePoint at_;
  };

  /// Records a crash, merged with earlier reports on the same server. Returns
  /// the requests that are blocked from now on.
  std::vector<SuspectRequest> OnCrash(const ServerCrash& crash, TimePoint now);
  /// Records that a server ran the request at `at` and did not crash, which
  /// clears it of the crashes before. Returns whether it is no longer listed
  /// because of that.
  bool OnSurvived(const RequestFingerprint& request, TimePoint at);
  /// Takes over a block from another ledger, unless this one has its own or
  /// knows that a server survived the request after its last crash.
  void Adopt(const SuspectRequest& request, TimePoint now);
  /// Forgets everything; all requests are unblocked.
  void Clear();

  /// Requests that are or were blocked, and those that one more crash may
  /// block; at most kMaxListed.
  std::vector<SuspectRequest> Listed() const;
  /// Whether the request is blocked.
  bool IsBlocked(const RequestFingerprint& request, TimePoint now) const;
  /// Number of blocked requests.
  size_t CountBlocked(TimePoint now) const;
  /// Rises whenever the result of Listed() may have changed, except by time.
  uint64_t number() const { return number_; }

  /// The latest crashes, at most `most`, the newest first.
  std::vector<ServerCrash> RecentCrashes(size_t most) const;
  /// The latest survivals reported, one for each request, by digest.
  const std::map<std::string, Survival>& survived() const { return survived_; }

  static constexpr size_t kMaxListed = 256;
  /// Requests kept of one crash; a server runs and queues about as many.
  static constexpr size_t kMaxRunning = 256;

 private:
  struct Block {
    RequestFingerprint fingerprint_;
    uint32_t crashes_ = 0;
    TimePoint last_crash_;
    TimePoint until_;
    Duration length_{};
  };

  using Evidence = std::vector<const ServerCrash*>;

  void Expire(TimePoint now);
  void Forget(uint64_t crash);
  void Merge(const ServerCrash& crash);
  /// Crashes that count against the request, in the order of time.
  Evidence EvidenceAgainst(const std::string& digest) const;
  /// Whether another request of the crash is or was blocked.
  bool IsExplained(uint64_t crash, const std::string& digest) const;
  /// Whether the request has more crashes than each other one of the crash.
  bool Leads(const std::string& digest,
             size_t crashes,
             const ServerCrash& crash) const;
  /// Whether servers crashed lately that did not run the request.
  bool HasBackground(const std::string& digest, const Evidence& evidence) const;
  bool MustBlock(const std::string& digest, const Evidence& evidence) const;
  SuspectRequest SetBlock(const RequestFingerprint& request,
                          const Evidence& evidence,
                          TimePoint now);

  /// By a number that rises with each crash.
  std::map<uint64_t, ServerCrash> crashes_;
  uint64_t last_crash_ = 0;
  std::unordered_map<std::string, uint64_t> crash_of_server_;
  /// The following are by the digest of a request.
  std::unordered_map<std::string, std::vector<uint64_t>> crashes_of_request_;
  /// Requests with several crashes.
  std::set<std::string> repeated_;
  std::map<std::string, Block> blocks_;
  std::map<std::string, Survival> survived_;
  uint64_t number_ = 0;
};

}  // namespace citronlane

#endif  // CITRONLANE_ROUTING_CRASH_LEDGER_H_
