#include "entry/internal/platformread.h"

#include "entry/internal/fieldtext.h"
#include "entry/internal/instancelist.h"
#include "entry/internal/platformreader.h"

namespace cranberryspool::entry {

namespace http = boost::beast::http;
using framework::Revision;

PlatformRead::PlatformRead(const PlatformCommand &Command,
                           PlatformReader &Reader)
    : Command_(Command), Reader_(Reader),
      Client_(std::make_shared<HttpGetClient>(Reader.io())) {}

bool PlatformRead::isDocument() const {
  return std::holds_alternative<decision::ReadDocument>(Command_);
}

std::optional<Revision> PlatformRead::newerThan() const {
  return std::visit(
      [](const auto &Alternative) { return Alternative.NewerThan_; }, Command_);
}

framework::Duration PlatformRead::waitDuration() const {
  return std::visit([](const auto &Alternative) { return Alternative.Wait_; },
                    Command_);
}

std::string PlatformRead::requestTarget() const {
  std::string Path = isDocument() ? "/v1/document" : "/v1/instances";
  if (const auto KnownRevision = newerThan()) {
    const auto WaitMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(waitDuration());
    Path += "?newer-than=" + std::to_string(KnownRevision->value()) +
            "&wait-ms=" + std::to_string(WaitMs.count());
  }
  return Path;
}

void PlatformRead::start() {
  const EntrySettings &Settings = Reader_.settings();
  HttpGetRequest Request;
  Request.Server_ =
      isDocument() ? Settings.DocumentService_ : Settings.InstanceList_;
  Request.Target_ = requestTarget();
  Request.UserAgent_ = "cranberryspool/" + Settings.Name_.value();
  Request.Timeout_ = Settings.Limits_.PlatformTimeout_ + waitDuration();
  Request.BodyBytes_ = Settings.Limits_.PlatformBytes_;
  Request.IsKeptAlive_ = false;
  Client_->get(std::move(Request),
               [Self = shared_from_this()](
                   const std::optional<HttpGetClient::Response> &Response) {
                 Self->onResponse(Response);
               });
}

void PlatformRead::onResponse(
    const std::optional<HttpGetClient::Response> &Response) {
  if (Response && Response->result() == http::status::not_modified)
    reportUnchanged();
  else if (Response && Response->result() == http::status::ok)
    reportPublished(*Response);
  else
    reportUnavailable();
}

void PlatformRead::reportUnchanged() {
  if (isDocument())
    Reader_.postEvent(decision::DocumentUnchanged{});
  else
    Reader_.postEvent(decision::InstancesUnchanged{});
}

void PlatformRead::reportPublished(const HttpGetClient::Response &Response) {
  if (isDocument()) {
    const auto RevisionNumber = parseUnsigned(trimmed(Response["Revision"]));
    if (RevisionNumber)
      Reader_.postEvent(decision::DocumentPublished{Revision(*RevisionNumber),
                                                    Response.body()});
    else
      reportUnavailable();
    return;
  }
  auto List = readInstanceList(Response.body());
  if (!List) {
    reportUnavailable();
    return;
  }
  Reader_.postEvent(decision::InstancesPublished{List->Revision_,
                                                 std::move(List->Instances_)});
}

void PlatformRead::reportUnavailable() {
  if (isDocument())
    Reader_.postEvent(decision::DocumentUnavailable{});
  else
    Reader_.postEvent(decision::InstancesUnavailable{});
}

} // namespace cranberryspool::entry
