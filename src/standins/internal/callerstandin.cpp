#include "standins/callerstandin.h"

#include "protocol/headers.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/replace.hpp>

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace cranberryspool::standins {

namespace {

constexpr std::chrono::milliseconds ReadinessPollInterval(200);
constexpr std::chrono::milliseconds ReadinessTimeout(1000);
/// Callers wait this much longer for a response than the timeout that they send
/// with the call.
constexpr std::chrono::milliseconds TimeoutGrace(2000);
constexpr unsigned StatusOk = 200;

std::string toLower(std::string_view Name) {
  return boost::algorithm::to_lower_copy(std::string(Name));
}

std::string findHeader(const std::map<std::string, std::string> &Headers,
                       const std::string &Name) {
  const auto Position = Headers.find(Name);
  return Position == Headers.end() ? std::string() : Position->second;
}

framework::Duration parseTargetTime(const HttpClient::Reply &Reply) {
  const std::string Timing = findHeader(Reply.Headers_, "server-timing");
  const std::size_t Start = Timing.find("dur=");
  if (Start == std::string::npos)
    return framework::Duration(0);
  const double Millis = std::strtod(Timing.c_str() + Start + 4, nullptr);
  return framework::Duration(static_cast<std::int64_t>(Millis * 1000.0));
}

std::string classifyEnding(const HttpClient::Reply &Reply,
                           const std::string &Call, bool IsDirect) {
  if (Reply.Outcome_ == HttpClient::Outcome::TimedOut)
    return "timeout";
  if (Reply.Outcome_ == HttpClient::Outcome::ConnectFailed)
    return "no-connection";
  if (Reply.Outcome_ != HttpClient::Outcome::ResponseReceived)
    return "cut";
  const std::string Ending =
      IsDirect ? "answered"
               : findHeader(Reply.Headers_, toLower(protocol::EndingHeader));
  if (Ending.empty())
    return "status-" + std::to_string(Reply.Status_);
  if (Ending == "answered" && Reply.Status_ == StatusOk && Reply.Body_ != Call)
    return "wrong";
  return Ending;
}

} // namespace

CallerStandin::CallerStandin(boost::asio::io_context &Context,
                             CallerSettings Settings)
    : Settings_(std::move(Settings)), Rng_(Settings_.Seed_), Client_(Context),
      ReadinessClient_(Context), ReadinessTimer_(Context) {
  for (std::size_t I = 0; I < Settings_.Streams_.size(); ++I)
    StreamStates_.emplace_back(Context);
  pollReadiness();
}

void CallerStandin::start() {
  for (std::size_t I = 0; I < StreamStates_.size(); ++I) {
    StreamStates_[I].NextArrival_ = Clock::now();
    scheduleArrival(I);
  }
}

void CallerStandin::stopArrivals() {
  IsStopped_ = true;
  for (StreamState &State : StreamStates_)
    State.Timer_.cancel();
}

void CallerStandin::setRateFactor(const std::string &Stream, double Factor) {
  for (std::size_t I = 0; I < StreamStates_.size(); ++I)
    if (Stream.empty() || Settings_.Streams_[I].Name_ == Stream)
      StreamStates_[I].RateFactor_ = Factor;
}

void CallerStandin::scheduleArrival(std::size_t Stream) {
  StreamState &State = StreamStates_[Stream];
  const double Rate = Settings_.Streams_[Stream].Rate_ * State.RateFactor_;
  if (IsStopped_ || Rate <= 0)
    return;
  const double Micros = Rng_.exponential(1e6 / Rate);
  State.NextArrival_ +=
      std::chrono::microseconds(static_cast<std::int64_t>(Micros));
  State.Timer_.expires_at(State.NextArrival_);
  State.Timer_.async_wait([this, Stream](boost::system::error_code Error) {
    if (Error)
      return;
    sendCall(Stream, StreamStates_[Stream].NextArrival_);
    scheduleArrival(Stream);
  });
}

std::string CallerStandin::makeIdempotencyKey() {
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  const std::uint64_t First = Rng_.bits();
  const std::uint64_t Second = Rng_.bits();
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>(Millis >> 16),
                static_cast<unsigned long long>(Millis & 0xffff),
                static_cast<unsigned long long>(First & 0xfff),
                static_cast<unsigned long long>(0x8000 | (Second & 0x3fff)),
                static_cast<unsigned long long>(First >> 16));
  return Text;
}

HttpRequest CallerStandin::makeRequest(const CallerStream &Stream,
                                       const std::string &Call) {
  HttpRequest Request;
  Request.Method_ = Stream.Method_;
  Request.Target_ =
      boost::algorithm::replace_all_copy(Stream.Path_, "{id}", Call);
  Request.Headers_["Caller-Call-Id"] = Call;
  Request.Headers_[std::string(protocol::TimeoutHeader)] = std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Stream.Timeout_)
          .count());
  if (!Stream.Priority_.empty())
    Request.Headers_[std::string(protocol::PriorityHeader)] = Stream.Priority_;
  if (Stream.HasIdempotencyKey_)
    Request.Headers_[std::string(protocol::IdempotencyKeyHeader)] =
        makeIdempotencyKey();
  Request.Body_ = std::string(Stream.BodyBytes_, 'x');
  return Request;
}

const std::string *CallerStandin::chooseAddress(const CallerStream &Stream) {
  if (!Stream.DirectTargets_.empty())
    return &Stream.DirectTargets_[Rng_.index(Stream.DirectTargets_.size())];
  for (std::size_t I = 0; I < Settings_.Instances_.size(); ++I) {
    const std::size_t Instance = NextInstance_++ % Settings_.Instances_.size();
    if (ReadyInstances_.count(Instance))
      return &Settings_.Instances_[Instance].CallerAddress_;
  }
  return nullptr;
}

void CallerStandin::sendCall(std::size_t Stream, Clock::time_point Arrival) {
  const CallerStream &Settings = Settings_.Streams_[Stream];
  CallRecord Record;
  Record.Call_ =
      std::to_string(Settings_.Seed_) + "-" + std::to_string(++LastCallNumber_);
  Record.Stream_ = Stream;
  Record.Phase_ = Phases_.size() - 1;
  const std::string *Address = chooseAddress(Settings);
  if (!Address) {
    Record.Ending_ = "no-instance";
    Records_.push_back(std::move(Record));
    return;
  }
  ++InFlightCalls_;
  Record.Address_ = *Address;
  HttpRequest Request = makeRequest(Settings, Record.Call_);
  if (Settings.DirectTargets_.empty() && !Settings_.Keys_.empty()) {
    Record.Key_ = Settings_.Keys_[Rng_.index(Settings_.Keys_.size())];
    Request.Headers_[std::string(protocol::AuthorizationHeader)] =
        "Bearer " + Record.Key_;
  }
  Record.SentAt_ = std::chrono::duration_cast<framework::Duration>(
      Clock::now().time_since_epoch());
  Client_.send(*Address, std::move(Request), Settings.Timeout_ + TimeoutGrace,
               [this, Record, Arrival](const HttpClient::Reply &Reply) {
                 finishCall(Record, Arrival, Reply);
               });
}

void CallerStandin::finishCall(CallRecord Record, Clock::time_point Arrival,
                               const HttpClient::Reply &Reply) {
  --InFlightCalls_;
  const bool IsDirect =
      !Settings_.Streams_[Record.Stream_].DirectTargets_.empty();
  Record.Latency_ =
      std::chrono::duration_cast<framework::Duration>(Clock::now() - Arrival);
  Record.Overhead_ = Record.Latency_ - parseTargetTime(Reply);
  Record.EndPhase_ = Phases_.size() - 1;
  Record.Status_ = Reply.Status_;
  Record.Ending_ = classifyEnding(Reply, Record.Call_, IsDirect);
  Record.Reason_ =
      findHeader(Reply.Headers_, toLower(protocol::EndingReasonHeader));
  Records_.push_back(std::move(Record));
}

void CallerStandin::pollReadiness() {
  for (std::size_t I = 0; I < Settings_.Instances_.size(); ++I) {
    HttpRequest Request;
    Request.Method_ = "GET";
    Request.Target_ = "/readyz";
    ReadinessClient_.send(
        Settings_.Instances_[I].OperatorAddress_, std::move(Request),
        ReadinessTimeout, [this, I](const HttpClient::Reply &Reply) {
          if (Reply.Status_ == StatusOk) {
            ReadyInstances_.insert(I);
            return;
          }
          ReadyInstances_.erase(I);
          Client_.closeIdle(Settings_.Instances_[I].CallerAddress_);
        });
  }
  ReadinessTimer_.expires_after(ReadinessPollInterval);
  ReadinessTimer_.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      pollReadiness();
  });
}

} // namespace cranberryspool::standins
