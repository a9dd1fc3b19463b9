#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTIONS_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTIONS_H

#include "entry/internal/instancestate.h"
#include "entry/internal/mailboxes.h"
#include "entry/internal/targetconnection.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_map>
#include <vector>

namespace cranberryspool::entry {

class ProbeConnection;

/// The duty that holds the connections to targets and carries attempts and
/// probes over them.
class TargetConnections {
public:
  TargetConnections(boost::asio::io_context &Io, const EntryLimits &Limits,
                    Mailboxes &Rings, InstanceState &Shared);
  ~TargetConnections();

  boost::asio::io_context &io() { return Io_; }
  const EntryLimits &limits() const { return Limits_; }
  InstanceState &shared() { return Shared_; }
  framework::Instant now() const;

  /// Tells the dispatch duty.
  void tell(decision::Event Event,
            std::shared_ptr<const TargetAnswer> Answer = nullptr);
  void remove(framework::ConnectionId Connection);
  /// Has `retryBody` called soon.
  void waitForBudget(framework::ConnectionId Connection);

private:
  void onCommand(TargetCommand &Command);
  void carryOut(const decision::OpenConnection &Command);
  void carryOut(const decision::CloseConnection &Command);
  void carryOut(const decision::ProbeTarget &Command);
  void carryOut(SendRequest &Command);
  void sweepLater();
  void sweep();
  void retryWaiting();

  boost::asio::io_context &Io_;
  const EntryLimits Limits_;
  Mailboxes &Rings_;
  InstanceState &Shared_;
  framework::Outbox<DispatchInput> Dispatch_;
  boost::asio::steady_timer SweepTimer_;
  boost::asio::steady_timer BudgetTimer_;
  std::vector<framework::ConnectionId> WaitingForBudget_;
  std::unordered_map<framework::ConnectionId, std::shared_ptr<TargetConnection>>
      Connections_;
  std::unordered_map<framework::TargetId, std::shared_ptr<ProbeConnection>>
      Probes_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_TARGETCONNECTIONS_H
