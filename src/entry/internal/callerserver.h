#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSERVER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSERVER_H

#include "entry/entrysettings.h"
#include "entry/internal/callersession.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/workermailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <unordered_map>

namespace cranberryspool::entry {

/// The worker that serves callers: accepts connections, assigns call ids and
/// passes the calls to the dispatch worker.
class CallerServer {
public:
  /// Call ids are assigned from `FirstCall` upwards. An id must not be reused
  /// after a restart of the instance, since peers fetch stored responses by it.
  CallerServer(boost::asio::io_context &Io,
               boost::asio::ip::tcp::acceptor Acceptor,
               std::optional<boost::asio::ip::tcp::acceptor> PeerAcceptor,
               const EntryLimits &Limits, framework::CallId FirstCall,
               WorkerMailboxes &Mailboxes, InstanceState &State,
               std::function<void()> OnAllClosed);
  ~CallerServer();

  /// Passes a complete request to the dispatch worker. Returns its call id, or
  /// nothing when the worker's mailbox is full.
  std::optional<framework::CallId> accept(std::uint64_t Session,
                                          decision::CallArrived Arrival,
                                          CallerRequest Request);
  /// Reports to the dispatch worker that the caller closed its connection.
  void reportCallerGone(framework::CallId Call);
  /// Reports a refused request to the dispatch worker, for log and metrics.
  /// Dropped when the worker's mailbox is full.
  void reportRefused(RefusedRequest Refused);
  void remove(std::uint64_t Session);

  const EntryLimits &limits() const { return Limits_; }
  InstanceState &state() { return State_; }
  /// Returns the limits in force, which a new document may change.
  const EffectiveCallerLimits &callerLimits() const {
    return State_.CallerLimits_;
  }
  bool isDraining() const { return IsDraining_; }
  framework::Instant now() const;

private:
  void acceptNext(boost::asio::ip::tcp::acceptor &Acceptor, CallerKind Kind);
  void onAccepted(boost::asio::ip::tcp::acceptor &Acceptor, CallerKind Kind,
                  const boost::system::error_code &Error,
                  boost::asio::ip::tcp::socket Socket);
  void scheduleSweep();
  void sweep();
  void onCommand(CallerCommand &Command);
  void execute(SendResponse &Command);
  void execute(const decision::RefuseCall &Command);
  void execute(const DrainCallers &Command);
  void execute(const CloseCallers &Command);
  std::shared_ptr<CallerSession> takeSession(framework::CallId Call);
  void reportClosedIfDone();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  /// Accepts the connections of other instances that forward calls.
  std::optional<boost::asio::ip::tcp::acceptor> PeerAcceptor_;
  const EntryLimits Limits_;
  WorkerMailboxes &Mailboxes_;
  InstanceState &State_;
  const std::function<void()> OnAllClosed_;
  framework::Outbox<DispatchInput> Dispatch_;
  boost::asio::steady_timer SweepTimer_;
  std::uint64_t LastSession_ = 0;
  std::uint64_t NextCall_;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerSession>> Sessions_;
  std::unordered_map<framework::CallId, std::uint64_t> SessionOfCall_;
  bool IsDraining_ = false;
  bool IsClosing_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_CALLERSERVER_H
