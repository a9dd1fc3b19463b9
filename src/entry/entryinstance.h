#ifndef CRANBERRYSPOOL_ENTRY_ENTRYINSTANCE_H
#define CRANBERRYSPOOL_ENTRY_ENTRYINSTANCE_H

#include "entry/entrysettings.h"
#include "entry/exitcode.h"
#include "entry/startfailure.h"
#include "framework/result.h"

#include <memory>
#include <string>
#include <vector>

namespace cranberryspool::entry {

/// One entry instance with its workers and their supervisors. A process may run
/// several of them on different addresses. Thread-safe.
class EntryInstance {
public:
  explicit EntryInstance(EntrySettings Settings);
  ~EntryInstance();

  EntryInstance(const EntryInstance &) = delete;
  EntryInstance &operator=(const EntryInstance &) = delete;

  /// Binds the listening sockets and starts the workers.
  framework::Result<void, StartFailure> start();

  /// Starts a graceful stop, in which accepted calls are still answered;
  /// returns at once.
  void requestStop();

  /// Replaces the addresses of the seeds after a change of the settings.
  void setSeeds(std::vector<std::string> Addresses);

  /// Blocks until the instance has stopped and returns how it ended.
  ExitCode waitUntilStopped();

  /// Returns the endpoint bound for callers; a configured port 0 is replaced by
  /// the port that the system chose.
  Endpoint callerEndpoint() const;
  /// Returns the endpoint bound for operators, with the port that the system
  /// chose in place of a configured port 0.
  Endpoint operatorEndpoint() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_ENTRYINSTANCE_H
