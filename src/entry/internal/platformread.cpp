#include "entry/internal/platformread.h"

#include "entry/internal/fieldtext.h"
#include "entry/internal/instancelist.h"
#include "entry/internal/listen.h"
#include "entry/internal/platformreader.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using boost::system::error_code;
using framework::Revision;

PlatformRead::PlatformRead(const PlatformCommand &Order, PlatformReader &Reader)
    : Order_(Order), Reader_(Reader), Socket_(Reader.io()),
      Timer_(Reader.io()) {
  Answer_.body_limit(Reader.settings().Limits_.PlatformBytes_);
}

bool PlatformRead::isDocument() const {
  return std::holds_alternative<decision::ReadDocument>(Order_);
}

std::optional<Revision> PlatformRead::newerThan() const {
  return std::visit([](const auto &One) { return One.NewerThan_; }, Order_);
}

framework::Duration PlatformRead::wait() const {
  return std::visit([](const auto &One) { return One.Wait_; }, Order_);
}

std::string PlatformRead::question() const {
  std::string Path = isDocument() ? "/v1/document" : "/v1/instances";
  if (const auto Known = newerThan()) {
    const auto WaitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait());
    Path += "?newer-than=" + std::to_string(Known->value()) +
            "&wait-ms=" + std::to_string(WaitMs.count());
  }
  return Path;
}

void PlatformRead::start() {
  const EntrySettings &Settings = Reader_.settings();
  const Endpoint &Where =
      isDocument() ? Settings.DocumentService_ : Settings.InstanceList_;
  const framework::Duration Patience =
      Settings.Limits_.PlatformTimeout_ + wait();
  Question_.version(11);
  Question_.method(http::verb::get);
  Question_.target(question());
  Question_.set(http::field::host, Where.Address_);
  Question_.set(http::field::user_agent,
                "cranberryspool/" + Settings.Name_.value());
  Question_.keep_alive(false);
  Timer_.expires_after(Patience);
  Timer_.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error)
      Self->fail();
  });
  Socket_.async_connect(toTcp(Where),
                        [Self = shared_from_this()](const error_code &Error) {
                          Self->onConnected(Error);
                        });
}

void PlatformRead::onConnected(const error_code &Error) {
  if (Error) {
    fail();
    return;
  }
  error_code Ignored;
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  http::async_write(
      Socket_, Question_,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->onWritten(Failure);
      });
}

void PlatformRead::onWritten(const error_code &Error) {
  if (Error) {
    fail();
    return;
  }
  http::async_read(
      Socket_, Input_, Answer_,
      [Self = shared_from_this()](const error_code &Failure, std::size_t) {
        Self->onRead(Failure);
      });
}

void PlatformRead::onRead(const error_code &Error) {
  if (IsDone_)
    return;
  if (!Error && Answer_.get().result() == http::status::not_modified) {
    tellUnchanged();
    return;
  }
  if (Error || Answer_.get().result() != http::status::ok) {
    fail();
    return;
  }
  tellPublished();
}

void PlatformRead::tellUnchanged() {
  finish();
  if (isDocument())
    Reader_.tell(decision::DocumentUnchanged{});
  else
    Reader_.tell(decision::InstancesUnchanged{});
}

void PlatformRead::tellPublished() {
  auto Message = Answer_.release();
  if (isDocument()) {
    const auto Number = parseCount(trimmed(Message["Revision"]));
    if (!Number) {
      fail();
      return;
    }
    finish();
    Reader_.tell(decision::DocumentPublished{Revision(*Number),
                                             std::move(Message.body())});
    return;
  }
  auto List = readInstanceList(Message.body());
  if (!List) {
    fail();
    return;
  }
  finish();
  Reader_.tell(decision::InstancesPublished{List->Revision_,
                                            std::move(List->Instances_)});
}

void PlatformRead::fail() {
  if (IsDone_)
    return;
  finish();
  if (isDocument())
    Reader_.tell(decision::DocumentUnavailable{});
  else
    Reader_.tell(decision::InstancesUnavailable{});
}

void PlatformRead::finish() {
  IsDone_ = true;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace cranberryspool::entry
