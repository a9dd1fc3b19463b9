#include "entry/internal/probeconnection.h"

#include "entry/endpointtext.h"
#include "entry/internal/copyfields.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/responsefields.h"
#include "entry/internal/targetconnectionpool.h"

namespace cranberryspool::entry {

namespace {

constexpr std::size_t MaxReportBytes = 16 * 1024;

} // namespace

ProbeConnection::ProbeConnection(TargetConnectionPool &Pool)
    : Pool_(Pool), Client_(std::make_shared<HttpGetClient>(Pool.io())) {}

ProbeConnection::~ProbeConnection() { Client_->close(); }

void ProbeConnection::send(const decision::ProbeTarget &Command) {
  if (Command_)
    Pool_.postEvent(decision::ProbeFailed{Command_->Probe_});
  Command_ = Command;
  StartedAt_ = Pool_.now();
  const auto Remote = parseEndpoint(Command.Address_);
  if (!Remote) {
    onResponse(std::nullopt);
    return;
  }
  HttpGetRequest Request;
  Request.Server_ = Remote.value();
  Request.Target_ = Command.Path_.empty()
                        ? Pool_.state().HttpProfile_.ProbePath_
                        : Command.Path_;
  Request.Timeout_ = Pool_.limits().ConnectTimeout_;
  Request.BodyBytes_ = MaxReportBytes;
  Client_->get(std::move(Request),
               [this](const std::optional<HttpGetClient::Response> &Response) {
                 onResponse(Response);
               });
}

void ProbeConnection::onResponse(
    const std::optional<HttpGetClient::Response> &Response) {
  const framework::ProbeId Probe = Command_->Probe_;
  const auto Event = Response ? readResponse(*Response) : std::nullopt;
  Command_.reset();
  if (Event)
    Pool_.postEvent(*Event);
  else
    Pool_.postEvent(decision::ProbeFailed{Probe});
}

std::optional<decision::ProbeAnswered>
ProbeConnection::readResponse(const HttpGetClient::Response &Response) const {
  const HttpProfile &Profile = Pool_.state().HttpProfile_;
  const ResponseMetadata Metadata =
      readResponseFields(copyFields(Response), Profile);
  const std::string &ExpectedTarget = Command_->TargetName_.value();
  if (Metadata.TargetId_ && !ExpectedTarget.empty() &&
      *Metadata.TargetId_ != ExpectedTarget)
    return std::nullopt;
  const auto Report = Profile.IsProbeReportInHeader_
                          ? Metadata.Report_
                          : Profile.ReadLoadReport_(Response.body());
  if (!Report)
    return std::nullopt;
  if (!Profile.IsProbeReportInHeader_ &&
      Response.result() != boost::beast::http::status::ok)
    return std::nullopt;
  decision::ProbeAnswered Event;
  Event.Probe_ = Command_->Probe_;
  Event.Report_ = *Report;
  Event.Report_.RequestLimit_ = Metadata.RequestLimit_;
  if (!Profile.WarmupField_.empty())
    Event.Report_.WarmupLeft_ =
        std::chrono::milliseconds(Metadata.WarmupMs_.value_or(0));
  Event.StartId_ = Metadata.StartId_;
  Event.RoundTrip_ = Pool_.now() - StartedAt_;
  return Event;
}

} // namespace cranberryspool::entry
