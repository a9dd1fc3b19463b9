#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREADER_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREADER_H

#include "entry/entrysettings.h"
#include "entry/internal/workermailboxes.h"
#include "framework/runtime/outbox.h"

#include <boost/asio/io_context.hpp>

namespace cranberryspool::entry {

/// The worker that reads and watches the platform's document service and its
/// instance list.
class PlatformReader {
public:
  PlatformReader(boost::asio::io_context &Io, const EntrySettings &Settings,
                 WorkerMailboxes &Mailboxes);
  ~PlatformReader();

  boost::asio::io_context &io() { return Io_; }
  const EntrySettings &settings() const { return Settings_; }
  void postEvent(decision::Event Event);

private:
  void onCommand(const PlatformCommand &Command);

  boost::asio::io_context &Io_;
  const EntrySettings Settings_;
  WorkerMailboxes &Mailboxes_;
  framework::Outbox<DispatchInput> Dispatch_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREADER_H
