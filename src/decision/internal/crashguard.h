#ifndef CRANBERRYSPOOL_DECISION_INTERNAL_CRASHGUARD_H
#define CRANBERRYSPOOL_DECISION_INTERNAL_CRASHGUARD_H

#include "calls/crashdetector.h"
#include "calls/types/attempt.h"
#include "decision/internal/callfinisher.h"
#include "decision/internal/connectionmanager.h"
#include "decision/internal/corestate.h"
#include "decision/internal/eventcontext.h"
#include "fleet/types/outputs/crashnoticesreceived.h"

#include <optional>
#include <vector>

namespace cranberryspool::decision {

/// Finds out which requests targets had when they crashed, exchanges this with
/// the other instances, and ends the calls of quarantined requests.
class CrashGuard {
public:
  CrashGuard(CoreState &Core, ConnectionManager &Manager,
             CallFinisher &Finisher)
      : Core_(Core), ConnectionManager_(Manager), Finisher_(Finisher) {}

  /// Records that an attempt was lost with its connection after its request may
  /// have been written.
  void recordLost(const EventContext &Context, const calls::Attempt &Lost);
  /// Records that the target closed a connection.
  void recordClosed(const EventContext &Context, framework::TargetId Target);
  /// Records that nothing listens at the target's address.
  void recordRefused(const EventContext &Context, framework::TargetId Target);
  void recordOpened(framework::TargetId Target);
  /// Records that a target completed a request.
  void recordCompleted(const EventContext &Context,
                       const calls::Attempt &Completed);
  /// Merges what another instance knows.
  void merge(const EventContext &Context,
             const fleet::CrashNoticesReceived &Received);

  /// Checks targets, ends calls and repeats notices when that is due.
  void runDue(const EventContext &Context);
  std::optional<framework::Instant> nextWakeUp() const {
    return Detector_.nextWakeUp();
  }

private:
  /// Returns the number of targets to which a connection is open.
  std::size_t countConnectedTargets() const;
  void checkTarget(const EventContext &Context, framework::TargetId Target);
  void report(const EventContext &Context, ChangeKind Kind,
              std::string Subject) const;
  /// Reports a quarantine that begins or has ended, given whether the request
  /// was quarantined before a record of it changed.
  void reportQuarantine(const EventContext &Context,
                        const calls::RequestFingerprint &Request,
                        bool WasQuarantined);
  bool isQuarantined(const EventContext &Context,
                     const calls::RequestFingerprint &Request) const;
  void failQuarantinedCalls(const EventContext &Context);
  /// Reduces the notices to as many as one message holds.
  void selectNotices(std::vector<fleet::CrashNotice> &Notices);
  void repeatNotices(const EventContext &Context);

  CoreState &Core_;
  ConnectionManager &ConnectionManager_;
  CallFinisher &Finisher_;
  calls::CrashDetector Detector_;
  /// Requests whose quarantine began during the current event.
  std::vector<calls::RequestFingerprint> NewlyQuarantined_;
  framework::Instant NextRepeatAt_{};
};

} // namespace cranberryspool::decision

#endif // CRANBERRYSPOOL_DECISION_INTERNAL_CRASHGUARD_H
