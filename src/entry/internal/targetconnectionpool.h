#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTIONPOOL_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTIONPOOL_H

#include "entry/internal/instancestate.h"
#include "entry/internal/targetconnection.h"
#include "entry/internal/workermailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_map>
#include <vector>

namespace cranberryspool::entry {

class ProbeConnection;

/// The worker that owns the connections to targets and sends attempts and
/// probes on them.
class TargetConnectionPool {
public:
  TargetConnectionPool(boost::asio::io_context &Io, const EntryLimits &Limits,
                       WorkerMailboxes &Mailboxes, InstanceState &State);
  ~TargetConnectionPool();

  boost::asio::io_context &io() { return Io_; }
  const EntryLimits &limits() const { return Limits_; }
  InstanceState &state() { return State_; }
  framework::Instant now() const;

  /// Sends an event, with the response that belongs to it, to the dispatch
  /// worker.
  void postEvent(decision::Event Event,
                 std::shared_ptr<const TargetResponse> Response = nullptr);
  void remove(framework::ConnectionId Connection);
  /// Reserves room for the body of a response until `Bytes` are held. Returns
  /// false when there is none at present; `retryRead` is then called later.
  /// The connection that has waited longest may use the part of the budget that
  /// is kept free for it, so that one response can always be completed.
  bool tryReserveBody(framework::ConnectionId Connection,
                      framework::ByteReservation &Reservation,
                      std::size_t Bytes);
  /// Schedules a call of `retryRead` for a connection that waits for room.
  void awaitBudget(framework::ConnectionId Connection);
  /// The response of a connection needs no more room.
  void stopWaiting(framework::ConnectionId Connection);

private:
  void onCommand(TargetCommand &Command);
  void execute(const decision::OpenConnection &Command);
  void execute(const decision::CloseConnection &Command);
  void execute(const decision::ProbeTarget &Command);
  void execute(SendRequest &Command);
  void scheduleSweep();
  void sweep();
  void retryWaitingConnections();

  boost::asio::io_context &Io_;
  const EntryLimits Limits_;
  WorkerMailboxes &Mailboxes_;
  InstanceState &State_;
  framework::Outbox<DispatchInput> Dispatch_;
  boost::asio::steady_timer SweepTimer_;
  boost::asio::steady_timer BudgetRetryTimer_;
  /// Connections whose responses have waited for room and are not complete, in
  /// the order in which they began to wait.
  std::vector<framework::ConnectionId> WaitingForBudget_;
  bool IsRetryScheduled_ = false;
  std::unordered_map<framework::ConnectionId, std::shared_ptr<TargetConnection>>
      Connections_;
  std::unordered_map<framework::TargetId, std::shared_ptr<ProbeConnection>>
      Probes_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTIONPOOL_H
