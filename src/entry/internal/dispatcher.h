#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_DISPATCHER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_DISPATCHER_H

#include "decision/core.h"
#include "entry/internal/callstatistics.h"
#include "entry/internal/decisionlog.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/mailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_map>
#include <vector>

namespace cranberryspool::entry {

/// The duty that owns the core: feeds it events with the time at which each is
/// handled, and passes its actions on to the other duties.
class Dispatcher {
public:
  Dispatcher(boost::asio::io_context &Io, decision::Core Core, Mailboxes &Rings,
             InstanceState &Shared, const DecisionLog &Log);
  ~Dispatcher();

private:
  /// What the shell keeps for a call that has not ended.
  struct KeptCall {
    std::shared_ptr<const CallerRequest> Request_;
    std::vector<framework::AttemptId> Attempts_;
    /// The answer that the caller gets, once that is known.
    std::shared_ptr<const TargetAnswer> Given_;
    /// The answer of an earlier call with the same key, once fetched.
    std::shared_ptr<const TargetAnswer> Fetched_;
  };

  void onInput(DispatchInput &Input);
  void keep(const DispatchInput &Input);
  void handle(const decision::Event &Event);
  void keepAnswers();
  void countEnded();
  void forgetEnded();
  void wakeUpInTime();
  void onTimer();

  /// Ends a call whose answer is not held, so that its caller does not wait.
  void refuseWithoutAnswer(framework::CallId Call);

  void carryOut(const decision::AnswerCall &Action);
  void carryOut(const decision::RefuseCall &Action);
  void carryOut(const decision::SendAttempt &Action);
  void carryOut(const decision::OpenConnection &Action);
  void carryOut(const decision::CloseConnection &Action);
  void carryOut(const decision::ProbeTarget &Action);
  void carryOut(const decision::ReadDocument &Action);
  void carryOut(const decision::ReadInstances &Action);
  void carryOut(const decision::ReadRecords &Action);
  void carryOut(const decision::SetReadiness &Action);
  void carryOut(const decision::FinishStop &Action);
  void carryOut(const decision::KeepAnswer &Action);
  void carryOut(const decision::DropKeptAnswer &Action);
  void carryOut(const decision::FetchKeptAnswer &Action);
  void carryOut(const decision::ReplayKeptAnswer &Action);
  void carryOut(const decision::SendPeerMessage &Action);
  void carryOut(const decision::FetchSections &Action);
  void carryOut(const decision::ServeSections &Action);
  void carryOut(const decision::ReportAttempt &Action);
  void carryOut(const decision::ReportAttemptEnd &Action);
  void carryOut(const decision::ReportChange &Action);
  /// The caller's id of its request, for the log.
  std::string_view requestId(framework::CallId Call) const;

  decision::Core Core_;
  Mailboxes &Rings_;
  InstanceState &Shared_;
  const DecisionLog &Log_;
  CallStatistics Statistics_;
  framework::Outbox<CallerCommand> Callers_;
  framework::Outbox<TargetCommand> Targets_;
  framework::Outbox<PlatformCommand> Platform_;
  framework::Outbox<decision::ReadRecords> Records_;
  framework::Outbox<decision::FetchSections> SectionFetches_;
  framework::Outbox<decision::FetchKeptAnswer> AnswerFetches_;
  boost::asio::steady_timer Timer_;
  framework::Instant TimerDue_ = framework::Instant::max();
  decision::ActionList Actions_;
  std::unordered_map<framework::CallId, KeptCall> Calls_;
  std::unordered_map<framework::AttemptId, framework::CallId> CallOfAttempt_;
  std::unordered_map<framework::AttemptId, std::shared_ptr<const TargetAnswer>>
      Answers_;
  std::vector<framework::CallId> ToKeep_;
  std::vector<framework::CallId> Ended_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_DISPATCHER_H
