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
/// Load samples older than this are discarded.
constexpr std::chrono::seconds LoadSampleRetention(2);
/// Service times of a cold target are multiplied by this while more requests
/// are pending than its cold limit allows.
constexpr double ColdOverloadFactor = 10.0;
/// A response that finds no other response to be swapped with within this time
/// goes to its own connection.
constexpr std::chrono::milliseconds SwapTimeout(50);

std::string toLower(std::string_view Name) {
  return boost::algorithm::to_lower_copy(std::string(Name));
}

bool isFromInstance(const HttpRequest &Request) {
  return !Request.header(toLower(protocol::AttemptIdHeader)).empty();
}

std::string callId(const HttpRequest &Request) {
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
            handleRequest(Session, Request);
          },
          [this](SessionId Session) { handleDisconnect(Session); }) {
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
  PendingSwap_.reset();
  LoadSamples_.clear();
  Server_.closeConnections();
}

bool TargetStandin::isCold() const {
  return ColdUntil_ && Clock::now() < *ColdUntil_;
}

void TargetStandin::handleRequest(SessionId Session,
                                  const HttpRequest &Request) {
  const bool IsProbe = Request.Target_ == ProbePath;
  if (IsProbe)
    ++Counters_.Probes_;
  else if (isFromInstance(Request))
    ++Counters_.Requests_;
  if (!Request.header(toLower(protocol::AuthorizationHeader)).empty())
    ++Counters_.KeysReceived_;
  if (Faults_.IsFailingFast_)
    return send(Session, makeResponse(Request, StatusServerError));
  if (Queue_.size() >= Settings_.QueueLimit_) {
    ++Counters_.Shed_;
    return sendNotRun(Session, Request);
  }
  Pending_[Session] = PendingRequest{Request, Clock::now(), IsProbe,
                                     !IsProbe && isFromInstance(Request)};
  Queue_.push_back(Session);
  if (Pending_[Session].IsFromInstance_)
    recordColdArrival();
  startQueuedRequests();
}

std::uint32_t TargetStandin::inFlightFromInstances() const {
  const auto Count =
      std::count_if(Pending_.begin(), Pending_.end(), [](const auto &Entry) {
        return Entry.second.IsFromInstance_;
      });
  return static_cast<std::uint32_t>(Count);
}

void TargetStandin::recordColdArrival() {
  if (!isCold())
    return;
  const std::uint32_t InFlight = inFlightFromInstances();
  Counters_.MaxColdInFlight_ = std::max(Counters_.MaxColdInFlight_, InFlight);
  if (InFlight > Settings_.ColdInFlight_)
    ++Counters_.ColdOverloads_;
}

void TargetStandin::handleDisconnect(SessionId Session) {
  const auto Queued = std::find(Queue_.begin(), Queue_.end(), Session);
  if (Queued == Queue_.end())
    return;
  ++Counters_.Cancelled_;
  Queue_.erase(Queued);
  Pending_.erase(Session);
  sampleLoad();
}

bool TargetStandin::hasExpired(const PendingRequest &Pending) const {
  const std::string Timeout =
      Pending.Request_.header(toLower(protocol::TimeoutHeader));
  if (Timeout.empty())
    return false;
  const std::chrono::milliseconds Allowed(std::atoll(Timeout.c_str()));
  return Clock::now() - Pending.Arrival_ >= Allowed;
}

void TargetStandin::startQueuedRequests() {
  while (Running_.size() < Settings_.Slots_ && !Queue_.empty()) {
    const SessionId Session = Queue_.front();
    Queue_.pop_front();
    const PendingRequest &Pending = Pending_.at(Session);
    if (!hasExpired(Pending)) {
      startRequest(Session);
      continue;
    }
    ++Counters_.Expired_;
    const HttpRequest Request = Pending.Request_;
    Pending_.erase(Session);
    sendNotRun(Session, Request);
  }
  sampleLoad();
}

framework::Duration
TargetStandin::sampleServiceTime(const PendingRequest &Pending) {
  if (Pending.IsProbe_)
    return Settings_.ProbeTime_;
  const double Mean = static_cast<double>(Settings_.MeanServiceTime_.count());
  // Half of the mean is a constant part; the other half is the mean of an
  // exponentially distributed part.
  double Micros = 0.5 * Mean + Rng_.exponential(0.5 * Mean);
  if (isCold() && Pending_.size() > Settings_.ColdInFlight_)
    Micros *= ColdOverloadFactor;
  return framework::Duration(
      static_cast<std::int64_t>(Micros * Faults_.SlowFactor_));
}

void TargetStandin::startRequest(SessionId Session) {
  const PendingRequest &Pending = Pending_.at(Session);
  if (!Pending.IsProbe_) {
    ++Counters_.Runs_;
    Record_.addRun(callId(Pending.Request_),
                   Pending.Request_.header(toLower(protocol::WorkspaceHeader)));
  }
  auto Timer = std::make_unique<asio::steady_timer>(Context_);
  Timer->expires_after(sampleServiceTime(Pending));
  Timer->async_wait(
      [this, Session, Epoch = Epoch_](boost::system::error_code Error) {
        if (!Error && Epoch == Epoch_)
          finish(Session);
      });
  Running_[Session] = std::move(Timer);
}

void TargetStandin::finish(SessionId Session) {
  Running_.erase(Session);
  const auto Found = Pending_.find(Session);
  const PendingRequest Pending = std::move(Found->second);
  Pending_.erase(Found);
  startQueuedRequests();
  HttpResponse Response = makeResponse(Pending.Request_, StatusOk);
  const auto Elapsed = std::chrono::duration<double, std::milli>(
      Clock::now() - Pending.Arrival_);
  Response.Headers_.emplace_back(
      "Server-Timing", "total;dur=" + std::to_string(Elapsed.count()));
  Response.Body_ = Pending.IsProbe_ ? loadReport() : callId(Pending.Request_);
  if (Pending.IsProbe_)
    return sendImmediately(Session, Response);
  send(Session, std::move(Response));
}

void TargetStandin::send(SessionId Session, HttpResponse Response) {
  Response.IsTruncated_ = Faults_.IsTruncatingResponses_;
  if (Faults_.IsSwappingResponses_) {
    if (!PendingSwap_) {
      PendingSwap_ = std::make_pair(Session, std::move(Response));
      auto Timer = std::make_shared<asio::steady_timer>(Context_, SwapTimeout);
      Timer->async_wait([this, Timer, Session](boost::system::error_code) {
        if (!PendingSwap_ || PendingSwap_->first != Session)
          return;
        const auto Unpaired = *std::exchange(PendingSwap_, std::nullopt);
        sendImmediately(Unpaired.first, Unpaired.second);
      });
      return;
    }
    const auto Previous = *std::exchange(PendingSwap_, std::nullopt);
    sendImmediately(Session, Previous.second);
    return sendImmediately(Previous.first, Response);
  }
  if (Faults_.ResponseDelay_.count() == 0)
    return sendImmediately(Session, Response);
  auto Timer =
      std::make_shared<asio::steady_timer>(Context_, Faults_.ResponseDelay_);
  Timer->async_wait([this, Timer, Session, Response = std::move(Response)](
                        boost::system::error_code Error) {
    if (!Error)
      sendImmediately(Session, Response);
  });
}

void TargetStandin::sendImmediately(SessionId Session,
                                    const HttpResponse &Response) {
  Server_.respond(Session, Response);
}

void TargetStandin::sendNotRun(SessionId Session, const HttpRequest &Request) {
  HttpResponse Response = makeResponse(Request, StatusUnavailable);
  Response.Headers_.emplace_back(protocol::NotRunHeader, "true");
  sendImmediately(Session, Response);
}

HttpResponse TargetStandin::makeResponse(const HttpRequest &Request,
                                         unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  const std::string Attempt =
      Request.header(toLower(protocol::AttemptIdHeader));
  if (!Attempt.empty())
    Response.Headers_.emplace_back(protocol::AttemptIdHeader, Attempt);
  Response.Headers_.emplace_back(protocol::StartIdHeader,
                                 std::to_string(StartId_));
  Response.Headers_.emplace_back(protocol::LoadReportHeader, loadReport());
  return Response;
}

void TargetStandin::sampleLoad() {
  const Clock::time_point Now = Clock::now();
  LoadSamples_.push_back(LoadSample{Now,
                                    static_cast<std::uint32_t>(Running_.size()),
                                    static_cast<std::uint32_t>(Queue_.size())});
  while (LoadSamples_.size() > 1 &&
         LoadSamples_.front().Time_ + LoadSampleRetention < Now)
    LoadSamples_.pop_front();
}

std::string TargetStandin::loadReport() {
  const Clock::time_point ReportTime = Clock::now() - Settings_.ReportLag_;
  LoadSample ReportedSample;
  for (const LoadSample &Sample : LoadSamples_) {
    if (Sample.Time_ > ReportTime)
      break;
    ReportedSample = Sample;
  }
  if (Faults_.IsReportingIdle_)
    ReportedSample = LoadSample();
  return boost::json::serialize(
      boost::json::object{{"inflight", ReportedSample.InFlight_},
                          {"queued", ReportedSample.Queued_},
                          {"slots", Settings_.Slots_},
                          {"cold", isCold()},
                          {"draining", Faults_.IsDraining_}});
}

} // namespace cranberryspool::standins
