#include "entry/internal/probeconnection.h"

#include "entry/endpointtext.h"
#include "entry/internal/answerfields.h"
#include "entry/internal/fieldsof.h"
#include "entry/internal/instancestate.h"
#include "entry/internal/targetconnections.h"

namespace cranberryspool::entry {

namespace {

constexpr std::size_t ReportBytes = 16 * 1024;

} // namespace

ProbeConnection::ProbeConnection(TargetConnections &Pool)
    : Pool_(Pool), Exchange_(std::make_shared<HttpGetClient>(Pool.io())) {}

ProbeConnection::~ProbeConnection() { Exchange_->close(); }

void ProbeConnection::ask(const decision::ProbeTarget &Order) {
  if (Order_)
    Pool_.tell(decision::ProbeFailed{Order_->Probe_});
  Order_ = Order;
  Started_ = Pool_.now();
  const auto Where = parseEndpoint(Order.Address_);
  if (!Where) {
    onAnswer(std::nullopt);
    return;
  }
  HttpGetRequest Question;
  Question.Server_ = Where.value();
  Question.Target_ = Order.Path_.empty()
                         ? Pool_.shared().HttpProfile_.ProbePath_
                         : Order.Path_;
  Question.Timeout_ = Pool_.limits().ConnectTimeout_;
  Question.BodyBytes_ = ReportBytes;
  Exchange_->get(std::move(Question),
                 [this](const std::optional<HttpGetClient::Response> &Given) {
                   onAnswer(Given);
                 });
}

void ProbeConnection::onAnswer(
    const std::optional<HttpGetClient::Response> &Given) {
  const framework::ProbeId Probe = Order_->Probe_;
  const auto Event = Given ? readAnswer(*Given) : std::nullopt;
  Order_.reset();
  if (Event)
    Pool_.tell(*Event);
  else
    Pool_.tell(decision::ProbeFailed{Probe});
}

std::optional<decision::ProbeAnswered>
ProbeConnection::readAnswer(const HttpGetClient::Response &Given) const {
  const HttpProfile &Spoken = Pool_.shared().HttpProfile_;
  const AnswerHead Head = readAnswerFields(fieldsOf(Given), Spoken);
  const std::string &Expected = Order_->TargetName_.value();
  if (Head.TargetId_ && !Expected.empty() && *Head.TargetId_ != Expected)
    return std::nullopt;
  const auto Report = Spoken.IsProbeReportInHeader_
                          ? Head.Report_
                          : Spoken.ReadLoadReport_(Given.body());
  if (!Report)
    return std::nullopt;
  if (!Spoken.IsProbeReportInHeader_ &&
      Given.result() != boost::beast::http::status::ok)
    return std::nullopt;
  decision::ProbeAnswered Event;
  Event.Probe_ = Order_->Probe_;
  Event.Report_ = *Report;
  if (!Spoken.WarmupField_.empty())
    Event.Report_.WarmupLeft_ =
        std::chrono::milliseconds(Head.WarmupMs_.value_or(0));
  Event.StartId_ = Head.StartId_;
  Event.RoundTrip_ = Pool_.now() - Started_;
  return Event;
}

} // namespace cranberryspool::entry
