#ifndef CRANBERRYSPOOL_ENTRY_TESTS_TARGETFIXTURE_H
#define CRANBERRYSPOOL_ENTRY_TESTS_TARGETFIXTURE_H

#include "entry/internal/targetconnectionpool.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cranberryspool::entry {

/// A target connection pool on its own thread, a listening socket that stands
/// for the target, and the events that the dispatch worker would receive.
class TargetFixture {
public:
  explicit TargetFixture(const EntryLimits &Limits = EntryLimits(),
                         HttpProfile Profile = defaultHttpProfile());
  ~TargetFixture();

  void sendCommand(TargetCommand Command);
  /// Opens a connection; waits until the target has accepted it and the event
  /// has arrived.
  boost::asio::ip::tcp::socket open(std::uint64_t Connection);
  /// Sends a request with the given method on a connection.
  void send(std::uint64_t Connection, std::uint64_t Attempt,
            const std::string &Method = "GET",
            const std::optional<decision::ForwardingInstance> &Forwarder =
                std::nullopt,
            const std::string &Target = "/a?b",
            const std::string &CallerAttemptId = "");

  /// Waits for the next event with its response.
  DispatchInput next();
  /// Waits for the next event for at most `Wait`.
  bool hasNext(std::chrono::milliseconds Wait);
  /// Waits for the next event, which must be of the given type.
  template <typename EventType> EventType expect() {
    return std::get<EventType>(next().Event_);
  }

  /// Returns the target's endpoint as `IP:port`.
  std::string address() const;
  boost::asio::ip::tcp::socket acceptConnection();
  std::size_t responseBytesInUse() const {
    return State_.ResponseBytes_.used();
  }

private:
  WorkerMailboxes Mailboxes_;
  InstanceState State_;
  boost::asio::io_context TargetIo_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::mutex Mutex_;
  std::condition_variable InputArrived_;
  std::deque<DispatchInput> Inputs_;
  boost::asio::io_context PoolIo_{1};
  boost::asio::io_context DispatchIo_{1};
  std::unique_ptr<TargetConnectionPool> Pool_;
  std::jthread PoolThread_;
  std::jthread DispatchThread_;
};

/// Reads until the end of the request's head and returns the bytes read.
std::string readHead(boost::asio::ip::tcp::socket &Socket);

/// Writes all bytes and ignores errors.
void writeAll(boost::asio::ip::tcp::socket &Socket, std::string_view Bytes);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TESTS_TARGETFIXTURE_H
