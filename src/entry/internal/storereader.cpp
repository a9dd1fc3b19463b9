#include "entry/internal/storereader.h"

#include <utility>

namespace cranberryspool::entry {

StoreReader::StoreReader(boost::asio::io_context &Io,
                         const StoreFactory &Factory,
                         WorkerMailboxes &Mailboxes)
    : Mailboxes_(Mailboxes), Dispatch_(Io, Mailboxes.Dispatch_),
      Store_(Factory(Io, [this](decision::Event Event) {
        DispatchInput Input;
        Input.Event_ = std::move(Event);
        Dispatch_.send(std::move(Input));
      })) {
  Mailboxes_.Records_.attach(
      Io, [this](decision::ReadRecords &Command) { Store_->read(Command); });
}

StoreReader::~StoreReader() { Mailboxes_.Records_.detach(); }

} // namespace cranberryspool::entry
