#ifndef CRANBERRYSPOOL_ENTRY_TESTS_CALLERFIXTURE_H
#define CRANBERRYSPOOL_ENTRY_TESTS_CALLERFIXTURE_H

#include "entry/internal/callerserver.h"
#include "entry/tests/rawclient.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace cranberryspool::entry {

/// A caller server on a free port with a scripted dispatch worker. A call for
/// `/refuse/ENDING` is refused with that ending, a call for `/hold` gets no
/// response, and any other call gets its request target and body back.
class CallerFixture {
public:
  explicit CallerFixture(const EntryLimits &Limits = EntryLimits());
  ~CallerFixture();

  RawClient connect() const { return RawClient(Endpoint_); }
  const Endpoint &callerEndpoint() const { return Endpoint_; }
  /// Connects like another instance that forwards calls.
  RawClient connectAsPeer() const { return RawClient(PeerEndpoint_); }
  /// Returns the endpoint for instances that forward calls, as `IP:port`.
  std::string peerAddress() const;
  void sendCommand(CallerCommand Command);

  /// Waits until `Count` calls have arrived and returns the last request.
  std::shared_ptr<const CallerRequest> awaitCalls(std::size_t Count);
  std::size_t callCount();
  framework::CallId lastCall();
  std::optional<decision::ForwardingInstance> lastForwarder();
  decision::CallArrived lastArrival();
  /// Sets whether the document in force has workspaces.
  void setWorkspacesInForce(bool AreInForce);
  void awaitCallerGone(framework::CallId Call);
  void awaitClosed();
  /// Waits for the next refused request that is reported.
  RefusedRequest awaitRefused();
  std::size_t requestBytesInUse() const { return State_.RequestBytes_.used(); }

private:
  void onInput(DispatchInput &Input);
  void handleCall(const decision::CallArrived &Arrived,
                  const std::shared_ptr<const CallerRequest> &Request);

  WorkerMailboxes Mailboxes_;
  InstanceState State_;
  Endpoint Endpoint_;
  Endpoint PeerEndpoint_;
  std::mutex Mutex_;
  std::condition_variable StateChanged_;
  std::size_t CallCount_ = 0;
  framework::CallId LastCall_;
  decision::CallArrived LastArrival_;
  framework::CallId AbandonedCall_;
  bool IsClosed_ = false;
  std::optional<RefusedRequest> Refused_;
  std::shared_ptr<const CallerRequest> LastRequest_;
  boost::asio::io_context ServerIo_{1};
  boost::asio::io_context DispatchIo_{1};
  std::unique_ptr<CallerServer> Server_;
  std::jthread ServerThread_;
  std::jthread DispatchThread_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TESTS_CALLERFIXTURE_H
