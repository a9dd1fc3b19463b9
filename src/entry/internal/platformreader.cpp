#include "entry/internal/platformreader.h"

#include "entry/internal/platformread.h"

namespace cranberryspool::entry {

PlatformReader::PlatformReader(boost::asio::io_context &Io,
                               const EntrySettings &Settings,
                               WorkerMailboxes &Mailboxes)
    : Io_(Io), Settings_(Settings), Mailboxes_(Mailboxes),
      Dispatch_(Io, Mailboxes.Dispatch_) {
  Mailboxes_.Platform_.attach(
      Io, [this](PlatformCommand &Command) { onCommand(Command); });
}

PlatformReader::~PlatformReader() { Mailboxes_.Platform_.detach(); }

void PlatformReader::postEvent(decision::Event Event) {
  DispatchInput Input;
  Input.Event_ = std::move(Event);
  Dispatch_.send(std::move(Input));
}

void PlatformReader::onCommand(const PlatformCommand &Command) {
  std::make_shared<PlatformRead>(Command, *this)->start();
}

} // namespace cranberryspool::entry
