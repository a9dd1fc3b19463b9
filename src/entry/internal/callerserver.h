#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSERVER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSERVER_H

#include "entry/entrysettings.h"
#include "entry/internal/callersession.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/mailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <unordered_map>

namespace cranberryspool::entry {

/// The duty that serves callers: accepts connections, numbers their calls and
/// hands them to the dispatch duty.
class CallerServer {
public:
  /// Calls are numbered from `FirstCall` upwards. No number may come again when
  /// the instance is restarted: peers name kept answers by it.
  CallerServer(boost::asio::io_context &Io,
               boost::asio::ip::tcp::acceptor Acceptor,
               const EntryLimits &Limits, framework::CallId FirstCall,
               Mailboxes &Rings, InstanceState &Shared,
               std::function<void()> OnFinished);
  ~CallerServer();

  /// Hands a whole request to the dispatch duty. Returns its number, or nothing
  /// when the ring is full.
  std::optional<framework::CallId> accept(std::uint64_t Session,
                                          decision::CallArrived Arrival,
                                          CallerRequest Request);
  /// Tells the dispatch duty that the caller has gone.
  void noteGone(framework::CallId Call);
  void remove(std::uint64_t Session);

  const EntryLimits &limits() const { return Limits_; }
  InstanceState &shared() { return Shared_; }
  /// The limits in force now.
  const CallerLimitsNow &callerLimits() const { return Shared_.CallerLimits_; }
  bool isWindingDown() const { return IsWindingDown_; }
  framework::Instant now() const;

private:
  void acceptNext();
  void onAccepted(const boost::system::error_code &Error,
                  boost::asio::ip::tcp::socket Socket);
  void sweepLater();
  void sweep();
  void onCommand(CallerCommand &Command);
  void carryOut(GiveAnswer &Command);
  void carryOut(const decision::RefuseCall &Command);
  void carryOut(const WindDownCallers &Command);
  void carryOut(const FinishCallers &Command);
  std::shared_ptr<CallerSession> takeSession(framework::CallId Call);
  void finishIfDone();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  const EntryLimits Limits_;
  Mailboxes &Rings_;
  InstanceState &Shared_;
  const std::function<void()> OnFinished_;
  framework::Outbox<DispatchInput> Dispatch_;
  boost::asio::steady_timer SweepTimer_;
  std::uint64_t LastSession_ = 0;
  std::uint64_t NextCall_;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerSession>> Sessions_;
  std::unordered_map<framework::CallId, std::uint64_t> SessionOfCall_;
  bool IsWindingDown_ = false;
  bool IsFinishing_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSERVER_H
