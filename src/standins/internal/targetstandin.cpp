#include "standins/targetstandin.h"

#include "protocol/headers.h"
#include "standins/address.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cranberryspool::standins {

namespace asio = boost::asio;

namespace {

constexpr std::string_view ProbePath = "/_load";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusUnavailable = 503;
/// Load samples older than this are forgotten.
constexpr std::chrono::seconds SampleRetention(2);
/// A cold target that gets more than it bears works this much slower.
constexpr double ColdOverloadFactor = 10.0;
/// A crossed answer that finds no partner goes to its own connection.
constexpr std::chrono::milliseconds CrossingWait(50);

std::string lower(std::string_view Name) {
  return boost::algorithm::to_lower_copy(std::string(Name));
}

bool isThroughInstance(const HttpRequest &Request) {
  return !Request.header(lower(protocol::AttemptIdHeader)).empty();
}

std::string callIdentity(const HttpRequest &Request) {
  return Request.header("caller-call-id");
}

} // namespace

TargetStandin::TargetStandin(asio::io_context &Context, TargetSettings Settings,
                             RunRecord &Record, framework::Random Rng)
    : Context_(Context), Settings_(std::move(Settings)), Record_(Record),
      Rng_(Rng), StartId_(Rng_.bits() >> 16),
      Server_(
          Context, parseAddress(Settings_.Address_),
          [this](SessionId Session, const HttpRequest &Request) {
            receive(Session, Request);
          },
          [this](SessionId Session) { cancel(Session); }) {
  Server_.setConnectionSetupTime(Settings_.ConnectionSetupTime_);
  Server_.setConnectionLimit(Settings_.ConnectionLimit_);
}

void TargetStandin::restartCold() {
  ++Epoch_;
  StartId_ = Rng_.bits() >> 16;
  ColdUntil_ = Clock::now() + Settings_.Warmup_;
  Pending_.clear();
  Queue_.clear();
  Running_.clear();
  Crossing_.reset();
  Samples_.clear();
  Server_.closeConnections();
}

bool TargetStandin::isCold() const {
  return ColdUntil_ && Clock::now() < *ColdUntil_;
}

void TargetStandin::receive(SessionId Session, const HttpRequest &Request) {
  const bool IsProbe = Request.Target_ == ProbePath;
  if (IsProbe)
    ++Counters_.Probes_;
  else if (isThroughInstance(Request))
    ++Counters_.Requests_;
  if (Faults_.IsFailingFast_)
    return send(Session, makeResponse(Request, StatusServerError));
  if (Queue_.size() >= Settings_.QueueLimit_) {
    ++Counters_.Shed_;
    return sendNotRun(Session, Request);
  }
  Pending_[Session] = Work{Request, Clock::now(), IsProbe,
                           !IsProbe && isThroughInstance(Request)};
  Queue_.push_back(Session);
  if (Pending_[Session].IsThroughInstance_)
    noteColdArrival();
  startQueued();
}

std::uint32_t TargetStandin::inFlightThroughInstances() const {
  const auto Count =
      std::count_if(Pending_.begin(), Pending_.end(), [](const auto &Entry) {
        return Entry.second.IsThroughInstance_;
      });
  return static_cast<std::uint32_t>(Count);
}

void TargetStandin::noteColdArrival() {
  if (!isCold())
    return;
  const std::uint32_t InFlight = inFlightThroughInstances();
  Counters_.MaxColdInFlight_ = std::max(Counters_.MaxColdInFlight_, InFlight);
  if (InFlight > Settings_.ColdInFlight_)
    ++Counters_.OverCold_;
}

void TargetStandin::cancel(SessionId Session) {
  const auto Queued = std::find(Queue_.begin(), Queue_.end(), Session);
  if (Queued == Queue_.end())
    return;
  ++Counters_.Cancelled_;
  Queue_.erase(Queued);
  Pending_.erase(Session);
  sampleLoad();
}

bool TargetStandin::hasExpired(const Work &Item) const {
  const std::string Timeout =
      Item.Request_.header(lower(protocol::TimeoutHeader));
  if (Timeout.empty())
    return false;
  const std::chrono::milliseconds Allowed(std::atoll(Timeout.c_str()));
  return Clock::now() - Item.Arrival_ >= Allowed;
}

void TargetStandin::startQueued() {
  while (Running_.size() < Settings_.Slots_ && !Queue_.empty()) {
    const SessionId Session = Queue_.front();
    Queue_.pop_front();
    const Work &Item = Pending_.at(Session);
    if (!hasExpired(Item)) {
      startWork(Session);
      continue;
    }
    ++Counters_.Expired_;
    const HttpRequest Request = Item.Request_;
    Pending_.erase(Session);
    sendNotRun(Session, Request);
  }
  sampleLoad();
}

framework::Duration TargetStandin::drawServiceTime(const Work &Item) {
  if (Item.IsProbe_)
    return Settings_.ProbeTime_;
  const double Mean = static_cast<double>(Settings_.MeanServiceTime_.count());
  // Half of the time is the same for all requests, half of it varies.
  double Micros = 0.5 * Mean + Rng_.exponential(0.5 * Mean);
  if (isCold() && Pending_.size() > Settings_.ColdInFlight_)
    Micros *= ColdOverloadFactor;
  return framework::Duration(
      static_cast<std::int64_t>(Micros * Faults_.SlowFactor_));
}

void TargetStandin::startWork(SessionId Session) {
  const Work &Item = Pending_.at(Session);
  if (!Item.IsProbe_) {
    ++Counters_.Runs_;
    Record_.addRun(callIdentity(Item.Request_));
  }
  auto Timer = std::make_unique<asio::steady_timer>(Context_);
  Timer->expires_after(drawServiceTime(Item));
  Timer->async_wait(
      [this, Session, Epoch = Epoch_](boost::system::error_code Error) {
        if (!Error && Epoch == Epoch_)
          finish(Session);
      });
  Running_[Session] = std::move(Timer);
}

void TargetStandin::finish(SessionId Session) {
  Running_.erase(Session);
  const auto Position = Pending_.find(Session);
  const Work Item = std::move(Position->second);
  Pending_.erase(Position);
  startQueued();
  HttpResponse Response = makeResponse(Item.Request_, StatusOk);
  const auto Taken =
      std::chrono::duration<double, std::milli>(Clock::now() - Item.Arrival_);
  Response.Headers_.emplace_back("Server-Timing",
                                 "total;dur=" + std::to_string(Taken.count()));
  Response.Body_ = Item.IsProbe_ ? loadReport() : callIdentity(Item.Request_);
  if (Item.IsProbe_)
    return sendNow(Session, Response);
  send(Session, std::move(Response));
}

void TargetStandin::send(SessionId Session, HttpResponse Response) {
  Response.IsTruncated_ = Faults_.IsTruncating_;
  if (Faults_.IsCrossing_) {
    if (!Crossing_) {
      Crossing_ = std::make_pair(Session, std::move(Response));
      auto Timer = std::make_shared<asio::steady_timer>(Context_, CrossingWait);
      Timer->async_wait([this, Timer, Session](boost::system::error_code) {
        if (!Crossing_ || Crossing_->first != Session)
          return;
        const auto Waiting = *std::exchange(Crossing_, std::nullopt);
        sendNow(Waiting.first, Waiting.second);
      });
      return;
    }
    const auto Other = *std::exchange(Crossing_, std::nullopt);
    sendNow(Session, Other.second);
    return sendNow(Other.first, Response);
  }
  if (Faults_.AnswerDelay_.count() == 0)
    return sendNow(Session, Response);
  auto Timer =
      std::make_shared<asio::steady_timer>(Context_, Faults_.AnswerDelay_);
  Timer->async_wait([this, Timer, Session, Response = std::move(Response)](
                        boost::system::error_code Error) {
    if (!Error)
      sendNow(Session, Response);
  });
}

void TargetStandin::sendNow(SessionId Session, const HttpResponse &Response) {
  Server_.respond(Session, Response);
}

void TargetStandin::sendNotRun(SessionId Session, const HttpRequest &Request) {
  HttpResponse Response = makeResponse(Request, StatusUnavailable);
  Response.Headers_.emplace_back(protocol::NotRunHeader, "true");
  sendNow(Session, Response);
}

HttpResponse TargetStandin::makeResponse(const HttpRequest &Request,
                                         unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  const std::string Attempt = Request.header(lower(protocol::AttemptIdHeader));
  if (!Attempt.empty())
    Response.Headers_.emplace_back(protocol::AttemptIdHeader, Attempt);
  Response.Headers_.emplace_back(protocol::StartIdHeader,
                                 std::to_string(StartId_));
  Response.Headers_.emplace_back(protocol::LoadReportHeader, loadReport());
  return Response;
}

void TargetStandin::sampleLoad() {
  const Clock::time_point Now = Clock::now();
  Samples_.push_back(LoadSample{Now,
                                static_cast<std::uint32_t>(Running_.size()),
                                static_cast<std::uint32_t>(Queue_.size())});
  while (Samples_.size() > 1 && Samples_.front().Time_ + SampleRetention < Now)
    Samples_.pop_front();
}

std::string TargetStandin::loadReport() {
  const Clock::time_point Wanted = Clock::now() - Settings_.ReportLag_;
  LoadSample Shown;
  for (const LoadSample &Sample : Samples_) {
    if (Sample.Time_ > Wanted)
      break;
    Shown = Sample;
  }
  if (Faults_.IsReportMisleading_)
    Shown = LoadSample();
  return boost::json::serialize(
      boost::json::object{{"inflight", Shown.InFlight_},
                          {"queued", Shown.Queued_},
                          {"slots", Settings_.Slots_},
                          {"cold", isCold()},
                          {"draining", Faults_.IsDraining_}});
}

} // namespace cranberryspool::standins
