#include "entry/internal/platformreader.h"

#include "entry/internal/platformread.h"

namespace cranberryspool::entry {

PlatformReader::PlatformReader(boost::asio::io_context &Io,
                               const EntrySettings &Settings, Mailboxes &Rings)
    : Io_(Io), Settings_(Settings), Rings_(Rings),
      Dispatch_(Io, Rings.Dispatch_) {
  Rings_.Platform_.attach(
      Io, [this](PlatformCommand &Command) { onCommand(Command); });
}

PlatformReader::~PlatformReader() { Rings_.Platform_.detach(); }

void PlatformReader::tell(decision::Event Event) {
  DispatchInput Input;
  Input.Event_ = std::move(Event);
  Dispatch_.send(std::move(Input));
}

void PlatformReader::onCommand(const PlatformCommand &Command) {
  std::make_shared<PlatformRead>(Command, *this)->start();
}

} // namespace cranberryspool::entry
