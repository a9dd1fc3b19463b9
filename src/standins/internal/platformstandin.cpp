#include "standins/platformstandin.h"

#include <boost/json.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace cranberryspool::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusNotModified = 304;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusUnavailable = 503;
constexpr std::chrono::milliseconds WatchCheckInterval(20);
constexpr std::string_view AgentPrefix = "cranberryspool/";

std::uint64_t numericParameter(const boost::urls::url_view &Url,
                               std::string_view Name) {
  const auto Position = Url.params().find(Name);
  if (Position == Url.params().end())
    return 0;
  return std::strtoull((*Position).value.c_str(), nullptr, 10);
}

json::object toJson(const document::PublishedInstance &Instance) {
  json::object Entry;
  Entry["name"] = Instance.Name_.value();
  if (Instance.Group_)
    Entry["group"] = Instance.Group_->value();
  Entry["zone"] = Instance.Zone_.value();
  Entry["address"] = Instance.Address_;
  Entry["state"] = Instance.IsLeaving_ ? "leaving" : "live";
  return Entry;
}

} // namespace

PlatformStandin::PlatformStandin(asio::io_context &Context,
                                 const asio::ip::tcp::endpoint &Address,
                                 std::uint32_t CallsPerSecond)
    : Context_(Context), CallsPerSecond_(CallsPerSecond), Timer_(Context),
      Server_(
          Context, Address,
          [this](SessionId Session, const HttpRequest &Request) {
            handleRequest(Session, Request);
          },
          [this](SessionId Session) { Watches_.erase(Session); }) {
  scheduleWatchCheck();
}

void PlatformStandin::publishDocument(std::string Text) {
  Document_.publish(std::move(Text));
  completeWatches();
}

void PlatformStandin::setDocumentMode(PlatformMode Mode) {
  Document_.setMode(Mode);
  completeWatches();
}

void PlatformStandin::setInstancesMode(PlatformMode Mode) {
  InstanceList_.setMode(Mode);
  completeWatches();
}

void PlatformStandin::setInstance(const document::PublishedInstance &Instance) {
  Instances_[Instance.Name_] = Instance;
  scheduleListPublication();
}

void PlatformStandin::removeInstance(const framework::InstanceName &Name) {
  Instances_.erase(Name);
  scheduleListPublication();
}

void PlatformStandin::setBlockedReaders(std::set<std::string> Names) {
  BlockedReaders_ = std::move(Names);
}

void PlatformStandin::scheduleListPublication() {
  if (ListLag_.count() == 0)
    return publishInstanceList();
  auto Timer = std::make_shared<asio::steady_timer>(Context_, ListLag_);
  Timer->async_wait([this, Timer](boost::system::error_code Error) {
    if (!Error)
      publishInstanceList();
  });
}

void PlatformStandin::publishInstanceList() {
  json::array Entries;
  for (const auto &[Name, Instance] : Instances_)
    Entries.push_back(toJson(Instance));
  json::object List;
  List["revision"] = InstanceList_.last().Revision_ + 1;
  List["instances"] = std::move(Entries);
  InstanceList_.publish(json::serialize(List));
  completeWatches();
}

bool PlatformStandin::countCall() {
  const Clock::time_point Now = Clock::now();
  if (Now - SecondStart_ >= std::chrono::seconds(1)) {
    SecondStart_ = Now;
    CallsInSecond_ = 0;
  }
  ++CallCount_;
  ++CallsInSecond_;
  MaxCallsInSecond_ = std::max(MaxCallsInSecond_, CallsInSecond_);
  return CallsInSecond_ <= CallsPerSecond_;
}

bool PlatformStandin::isBlocked(const HttpRequest &Request) const {
  if (BlockedReaders_.count("*"))
    return true;
  const std::string Agent = Request.header("user-agent");
  if (!Agent.starts_with(AgentPrefix))
    return false;
  return BlockedReaders_.count(Agent.substr(AgentPrefix.size())) > 0;
}

void PlatformStandin::handleRequest(SessionId Session,
                                    const HttpRequest &Request) {
  if (isBlocked(Request))
    return sendStatus(Session, StatusUnavailable);
  if (!countCall()) {
    ++RefusedCount_;
    return sendStatus(Session, StatusTooManyRequests);
  }
  const auto Url = boost::urls::parse_origin_form(Request.Target_);
  if (!Url)
    return sendStatus(Session, StatusNotFound);
  const bool IsDocument = Url->path() == "/v1/document";
  if (!IsDocument && Url->path() != "/v1/instances")
    return sendStatus(Session, StatusNotFound);
  const PublishedValue &Value = IsDocument ? Document_ : InstanceList_;
  const std::uint64_t NewerThan = numericParameter(*Url, "newer-than");
  const std::chrono::milliseconds Wait(numericParameter(*Url, "wait-ms"));
  if (Value.mode() == PlatformMode::Down)
    return sendStatus(Session, StatusUnavailable);
  if (Wait.count() == 0 || Value.served().Revision_ > NewerThan)
    return sendValue(Session, Value);
  Watches_[Session] = Watch{&Value, NewerThan, Clock::now() + Wait};
}

void PlatformStandin::sendValue(SessionId Session,
                                const PublishedValue &Value) {
  HttpResponse Response;
  Response.Headers_.emplace_back("Revision",
                                 std::to_string(Value.served().Revision_));
  Response.Body_ = Value.served().Text_;
  Server_.respond(Session, Response);
}

void PlatformStandin::sendStatus(SessionId Session, unsigned Status) {
  HttpResponse Response;
  Response.Status_ = Status;
  Server_.respond(Session, Response);
}

void PlatformStandin::completeWatches() {
  const Clock::time_point Now = Clock::now();
  for (auto Position = Watches_.begin(); Position != Watches_.end();) {
    const auto [Session, PendingWatch] = *Position;
    const bool IsDown =
        PendingWatch.WatchedValue_->mode() == PlatformMode::Down;
    const bool IsNewer = PendingWatch.WatchedValue_->served().Revision_ >
                         PendingWatch.NewerThan_;
    if (!IsDown && !IsNewer && Now < PendingWatch.Deadline_) {
      ++Position;
      continue;
    }
    Position = Watches_.erase(Position);
    if (IsDown)
      sendStatus(Session, StatusUnavailable);
    else if (IsNewer)
      sendValue(Session, *PendingWatch.WatchedValue_);
    else
      sendStatus(Session, StatusNotModified);
  }
}

void PlatformStandin::scheduleWatchCheck() {
  Timer_.expires_after(WatchCheckInterval);
  Timer_.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    completeWatches();
    scheduleWatchCheck();
  });
}

} // namespace cranberryspool::standins
