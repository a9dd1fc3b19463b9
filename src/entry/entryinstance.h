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

/// One entry instance with its duties and their supervisors. Several may live
/// in one process on different addresses. Thread-safe.
class EntryInstance {
public:
  explicit EntryInstance(EntrySettings Settings);
  ~EntryInstance();

  EntryInstance(const EntryInstance &) = delete;
  EntryInstance &operator=(const EntryInstance &) = delete;

  /// Binds the addresses and starts the duties.
  framework::Result<void, StartFailure> start();

  /// Asks for a stop that cuts no call; returns at once.
  void requestStop();

  /// Takes other addresses of seeds, when the settings have changed.
  void setSeeds(std::vector<std::string> Addresses);

  /// Returns when the instance has stopped, and how it ended.
  ExitCode waitUntilStopped();

  /// The endpoints that are listened on, with the ports in place of 0.
  Endpoint callerEndpoint() const;
  Endpoint operatorEndpoint() const;

private:
  class Workings;
  std::unique_ptr<Workings> Workings_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_ENTRYINSTANCE_H
