#include "entry/internal/storereader.h"

#include <utility>

namespace cranberryspool::entry {

StoreReader::StoreReader(boost::asio::io_context &Io, const StoreFactory &Make,
                         Mailboxes &Rings)
    : Rings_(Rings), Dispatch_(Io, Rings.Dispatch_),
      Store_(Make(Io, [this](decision::Event Event) {
        DispatchInput Input;
        Input.Event_ = std::move(Event);
        Dispatch_.send(std::move(Input));
      })) {
  Rings_.Records_.attach(
      Io, [this](decision::ReadRecords &Order) { Store_->read(Order); });
}

StoreReader::~StoreReader() { Rings_.Records_.detach(); }

} // namespace cranberryspool::entry
