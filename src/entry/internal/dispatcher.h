#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_DISPATCHER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_DISPATCHER_H

#include "decision/core.h"
#include "entry/internal/callstatistics.h"
#include "entry/internal/decisionlog.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/workermailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace cranberryspool::entry {

/// The worker that owns the core. Passes events to it, each with the time of
/// its handling, and sends the resulting actions to the other workers.
class Dispatcher {
public:
  Dispatcher(boost::asio::io_context &Io, decision::Core Core,
             WorkerMailboxes &Mailboxes, InstanceState &State,
             const DecisionLog &Log);
  ~Dispatcher();

private:
  /// The messages and attempts of a call that has not ended.
  struct PendingCall {
    std::shared_ptr<const CallerRequest> Request_;
    std::vector<framework::AttemptId> Attempts_;
    /// The response sent to the caller, once that is known.
    std::shared_ptr<const TargetResponse> Response_;
    /// The response to an earlier call with the same key, once fetched.
    std::shared_ptr<const TargetResponse> FetchedResponse_;
  };

  void onInput(DispatchInput &Input);
  void holdMessages(const DispatchInput &Input);
  void handle(const decision::Event &Event);
  void storeResponses();
  void recordEndedCalls();
  void logRefusals(const std::vector<decision::EndedCall> &Reported);
  void eraseEndedCalls();
  void scheduleWakeUp();
  void onTimer();

  /// Refuses a call whose response is not held here, so that its caller gets an
  /// outcome at once.
  void refuseMissingResponse(framework::CallId Call);

  void execute(const decision::AnswerCall &Action);
  void execute(const decision::RefuseCall &Action);
  void execute(const decision::SendAttempt &Action);
  void execute(const decision::OpenConnection &Action);
  void execute(const decision::CloseConnection &Action);
  void execute(const decision::ProbeTarget &Action);
  void execute(const decision::ReadDocument &Action);
  void execute(const decision::ReadInstances &Action);
  void execute(const decision::ReadRecords &Action);
  void execute(const decision::SetReadiness &Action);
  void execute(const decision::FinishStop &Action);
  void execute(const decision::KeepAnswer &Action);
  void execute(const decision::DropKeptAnswer &Action);
  void execute(const decision::FetchKeptAnswer &Action);
  void execute(const decision::ReplayKeptAnswer &Action);
  void execute(const decision::SendPeerMessage &Action);
  void execute(const decision::FetchSections &Action);
  void execute(const decision::ServeSections &Action);
  void execute(const decision::ReportAttempt &Action);
  void execute(const decision::ReportAttemptEnd &Action);
  void execute(const decision::ReportChange &Action);
  /// Returns the attempt id that the caller sent, for the log.
  std::string_view requestId(framework::CallId Call) const;

  decision::Core Core_;
  WorkerMailboxes &Mailboxes_;
  InstanceState &State_;
  const DecisionLog &Log_;
  CallStatistics Statistics_;
  framework::Outbox<CallerCommand> Callers_;
  framework::Outbox<TargetCommand> Targets_;
  framework::Outbox<PlatformCommand> Platform_;
  framework::Outbox<decision::ReadRecords> Records_;
  framework::Outbox<decision::FetchSections> SectionFetches_;
  framework::Outbox<decision::FetchKeptAnswer> StoredResponseFetches_;
  boost::asio::steady_timer Timer_;
  framework::Instant TimerExpiry_ = framework::Instant::max();
  decision::ActionList Actions_;
  /// When the handling of the current event began.
  framework::Instant HandlingSince_{};
  std::unordered_map<framework::CallId, PendingCall> Calls_;
  std::unordered_map<framework::AttemptId, framework::CallId> CallOfAttempt_;
  /// The ids that the callers sent with the requests of attempts that have not
  /// ended, for the log. An attempt may outlive its call.
  std::unordered_map<framework::AttemptId, std::string> RequestIds_;
  std::unordered_map<framework::AttemptId,
                     std::shared_ptr<const TargetResponse>>
      Responses_;
  std::vector<framework::CallId> CallsToStore_;
  std::vector<framework::CallId> EndedCalls_;
  /// The refusals that the last event caused.
  std::vector<decision::RefuseCall> Refusals_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_DISPATCHER_H
