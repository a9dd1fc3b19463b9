#ifndef CRANBERRYSPOOL_ENTRY_TESTS_WORKSPACEFIXTURE_H
#define CRANBERRYSPOOL_ENTRY_TESTS_WORKSPACEFIXTURE_H

#include "entry/entryinstance.h"
#include "entry/tests/rawclient.h"
#include "framework/log/logwriter.h"
#include "standins/httpserver.h"

#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cranberryspool::entry {

/// A running instance with a target and a metadata store, all on loopback. The
/// target answers a request with the `Workspace` and `Authorization` fields
/// that it received, joined by a vertical bar. `/open/` may be called without a
/// key,
/// `/closed/` may not.
class WorkspaceFixture {
public:
  /// The keys of the workspaces `w1` and `w2`.
  static constexpr const char *FirstKey = "first-key";
  static constexpr const char *SecondKey = "second-key";

  /// `Network` is the third part of the addresses; tests that run at the same
  /// time need different ones.
  WorkspaceFixture(int Network, bool HasWorkspaces);
  ~WorkspaceFixture();

  /// Sends requests in one write and returns as many responses.
  std::vector<std::string> send(const std::vector<std::string> &Requests);
  /// Returns a page of the operator interface.
  std::string page(const std::string &Path) const;
  /// Waits until the log has the given number of lines of ended calls and
  /// returns the log.
  std::string awaitEndedCalls(std::size_t Count);
  /// Publishes a document, in which `w1` has the given key.
  void publish(const std::string &KeyOfFirst);
  /// Sets whether the store answers reads.
  void setStoreAvailable(bool IsAvailable) {
    IsStoreAvailable_.store(IsAvailable);
  }
  /// Returns all header fields that the target received, as text.
  std::string receivedFields();

private:
  class Store;

  /// Returns true once the store has confirmed the instance's view, before
  /// which the instance uses no key.
  bool isViewConfirmed() const;

  EntrySettings settings(int Network, bool HasWorkspaces);
  void handleRequest(standins::SessionId Session,
                     const standins::HttpRequest &Request);

  std::mutex Mutex_;
  std::string ReceivedFields_;
  std::string PublishedKey_;
  std::uint64_t PublishedRevision_ = 5;
  std::atomic<bool> IsStoreAvailable_{true};
  std::FILE *LogFile_;
  std::unique_ptr<framework::LogWriter> Log_;
  boost::asio::io_context TargetIo_{1};
  std::string TargetAddress_;
  standins::HttpServer Target_;
  std::jthread TargetThread_;
  std::unique_ptr<EntryInstance> Instance_;
};

/// Returns a request with the given path and header fields.
std::string makeRequest(const std::string &Path, const std::string &Fields);

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TESTS_WORKSPACEFIXTURE_H
