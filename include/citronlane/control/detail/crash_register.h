#ifndef CITRONLANE_CONTROL_DETAIL_CRASH_REGISTER_H_
#define CITRONLANE_CONTROL_DETAIL_CRASH_REGISTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "citronlane/base/time.h"
#include "citronlane/control/suspect_feed.h"
#include "citronlane/observe/event_log.h"
#include "control.pb.h"

namespace citronlane {

/// The SuspectFeed of a control VM that serves gateways on several threads.
/// Forgets everything when this VM leads in another term, since gateways then
/// report what they know. Thread safe.
class CrashRegister {
 public:
  /// `log` writes one line, given without a line end; it may be called from any
  /// thread.
  explicit CrashRegister(std::function<void(std::string_view)> log);
  CrashRegister(const CrashRegister&) = delete;
  CrashRegister& operator=(const CrashRegister&) = delete;

  /// Takes a gateway's reports. Precondition: this VM leads in `term`.
  void Take(const wire::fleet::CrashReports& reports,
            uint64_t term,
            TimePoint now);
  /// Sets the list for a gateway. Precondition: this VM leads in `term`.
  void AddTo(uint64_t term, TimePoint now, wire::SuspectList* list);

 private:
  struct Incarnation {
    uint64_t number_ = 0;
    TimePoint crashed_;
  };

  void SetTerm(uint64_t term, TimePoint now);
  /// Names the incarnation that crashed, alike for all gateways that report it.
  std::string NameOf(const wire::fleet::ServerCrash& crash, TimePoint now);

  std::mutex mutex_;
  EventLog log_;
  SuspectFeed suspects_;
  uint64_t term_ = 0;
  TimePoint leading_since_;
  /// The last incarnation of each server that crashed.
  std::map<std::string, Incarnation> incarnations_;
};

}  // namespace citronlane

#endif  // CITRONLANE_CONTROL_DETAIL_CRASH_REGISTER_H_
