#include "entry/internal/platformread.h"

#include "entry/internal/fieldtext.h"
#include "entry/internal/instancelist.h"
#include "entry/internal/platformreader.h"

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using framework::Revision;

PlatformRead::PlatformRead(const PlatformCommand &Order, PlatformReader &Reader)
    : Order_(Order), Reader_(Reader),
      Exchange_(std::make_shared<HttpGetClient>(Reader.io())) {}

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
  HttpGetRequest Question;
  Question.Server_ =
      isDocument() ? Settings.DocumentService_ : Settings.InstanceList_;
  Question.Target_ = question();
  Question.UserAgent_ = "cranberryspool/" + Settings.Name_.value();
  Question.Timeout_ = Settings.Limits_.PlatformTimeout_ + wait();
  Question.BodyBytes_ = Settings.Limits_.PlatformBytes_;
  Question.IsKeptAlive_ = false;
  Exchange_->get(std::move(Question),
                 [Self = shared_from_this()](
                     const std::optional<HttpGetClient::Response> &Given) {
                   Self->onAnswer(Given);
                 });
}

void PlatformRead::onAnswer(
    const std::optional<HttpGetClient::Response> &Given) {
  if (Given && Given->result() == http::status::not_modified)
    tellUnchanged();
  else if (Given && Given->result() == http::status::ok)
    tellPublished(*Given);
  else
    fail();
}

void PlatformRead::tellUnchanged() {
  if (isDocument())
    Reader_.tell(decision::DocumentUnchanged{});
  else
    Reader_.tell(decision::InstancesUnchanged{});
}

void PlatformRead::tellPublished(const HttpGetClient::Response &Given) {
  if (isDocument()) {
    const auto Number = parseCount(trimmed(Given["Revision"]));
    if (Number)
      Reader_.tell(
          decision::DocumentPublished{Revision(*Number), Given.body()});
    else
      fail();
    return;
  }
  auto List = readInstanceList(Given.body());
  if (!List) {
    fail();
    return;
  }
  Reader_.tell(decision::InstancesPublished{List->Revision_,
                                            std::move(List->Instances_)});
}

void PlatformRead::fail() {
  if (isDocument())
    Reader_.tell(decision::DocumentUnavailable{});
  else
    Reader_.tell(decision::InstancesUnavailable{});
}

} // namespace cranberryspool::entry
