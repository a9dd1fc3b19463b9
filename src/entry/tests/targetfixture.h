#ifndef CRANBERRYSPOOL_ENTRY_TESTS_TARGETFIXTURE_H
#define CRANBERRYSPOOL_ENTRY_TESTS_TARGETFIXTURE_H

#include "entry/internal/targetconnections.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cranberryspool::entry {

/// Target connections on their own thread, a target whose bytes the test
/// writes, and the events that the dispatch duty would get.
class TargetFixture {
public:
  explicit TargetFixture(const EntryLimits &Limits = EntryLimits());
  ~TargetFixture();

  void order(TargetCommand Command);
  /// Orders a connection and waits until the target has accepted it and the
  /// event has come.
  boost::asio::ip::tcp::socket open(std::uint64_t Connection);
  /// Orders a request of the method on a connection.
  void send(std::uint64_t Connection, std::uint64_t Attempt,
            const std::string &Method = "GET");

  /// Waits for the next event and its answer.
  DispatchInput next();
  /// Waits for the next event, which must be of the kind.
  template <typename Kind> Kind expect() {
    return std::get<Kind>(next().Event_);
  }

  /// `IP:port` of the target.
  std::string address() const;
  boost::asio::ip::tcp::socket acceptConnection();
  std::size_t answerBytesInUse() const { return Shared_.AnswerBytes_.used(); }

private:
  Mailboxes Rings_;
  InstanceState Shared_;
  boost::asio::io_context TargetIo_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::mutex Lock_;
  std::condition_variable Arrived_;
  std::deque<DispatchInput> Inputs_;
  boost::asio::io_context PoolIo_{1};
  boost::asio::io_context DispatchIo_{1};
  std::unique_ptr<TargetConnections> Pool_;
  std::jthread PoolThread_;
  std::jthread DispatchThread_;
};

/// Reads until the end of the request's head and returns what came.
std::string readHead(boost::asio::ip::tcp::socket &Socket);

/// Writes all bytes.
void writeAll(boost::asio::ip::tcp::socket &Socket, std::string_view Bytes);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TESTS_TARGETFIXTURE_H
