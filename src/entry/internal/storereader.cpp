#include "entry/internal/storereader.h"

#include <utility>

namespace cranberryspool::entry {

StoreReader::StoreReader(boost::asio::io_context &Io,
                         const StoreFactory &Factory,
                         WorkerMailboxes &Mailboxes, UnansweredReads &Reads)
    : Mailboxes_(Mailboxes), Reads_(Reads), Dispatch_(Io, Mailboxes.Dispatch_),
      Store_(Factory(
          Io, [this](decision::Event Event) { report(std::move(Event)); })) {
  const std::set<fleet::ReadKind> LeftOver = Reads_.kinds();
  for (const fleet::ReadKind Kind : LeftOver)
    report(decision::RecordsUnavailable{"the worker that reads was restarted",
                                        false, Kind});
  Mailboxes_.Records_.attach(
      Io, [this](decision::ReadRecords &Command) { read(Command); });
}

StoreReader::~StoreReader() { Mailboxes_.Records_.detach(); }

void StoreReader::read(const decision::ReadRecords &Command) {
  Reads_.begin(Command.After_ ? fleet::ReadKind::Changes
                              : fleet::ReadKind::AllRecords);
  Store_->read(Command);
}

void StoreReader::report(decision::Event Outcome) {
  Reads_.end(Outcome);
  DispatchInput Input;
  Input.Event_ = std::move(Outcome);
  Dispatch_.send(std::move(Input));
}

} // namespace cranberryspool::entry
