#ifndef CRANBERRYSPOOL_ENTRY_TESTS_CALLERFIXTURE_H
#define CRANBERRYSPOOL_ENTRY_TESTS_CALLERFIXTURE_H

#include "entry/internal/callerserver.h"
#include "entry/tests/rawclient.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace cranberryspool::entry {

/// A callers' server on a free port with a scripted dispatch duty: a call for
/// `/refuse/ENDING` is refused so, one for `/hold` waits;
/// any other is answered with what arrived.
class CallerFixture {
public:
  explicit CallerFixture(const EntryLimits &Limits = EntryLimits());
  ~CallerFixture();

  RawClient connect() const { return RawClient(Endpoint_); }
  void order(CallerCommand Command);

  /// Waits until so many calls have arrived and returns the last request.
  std::shared_ptr<const CallerRequest> awaitCall(std::size_t Count);
  std::size_t callCount();
  framework::CallId lastCall();
  void awaitGone(framework::CallId Call);
  void awaitFinished();
  std::size_t requestBytesInUse() const { return Shared_.RequestBytes_.used(); }

private:
  void onInput(DispatchInput &Input);
  void arrive(const decision::CallArrived &Arrived,
              const std::shared_ptr<const CallerRequest> &Request);

  Mailboxes Rings_;
  InstanceState Shared_;
  Endpoint Endpoint_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  std::size_t CallCount_ = 0;
  framework::CallId LastCall_;
  framework::CallId GoneCall_;
  bool IsFinished_ = false;
  std::shared_ptr<const CallerRequest> LastRequest_;
  boost::asio::io_context ServerIo_{1};
  boost::asio::io_context DispatchIo_{1};
  std::unique_ptr<CallerServer> Server_;
  std::jthread ServerThread_;
  std::jthread DispatchThread_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TESTS_CALLERFIXTURE_H
