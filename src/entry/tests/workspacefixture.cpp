#include "entry/tests/workspacefixture.h"

#include "document/types/environmentdocument.h"
#include "fleet/types/publishedtarget.h"
#include "workspaces/digestkey.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <utility>

namespace cranberryspool::entry {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t FirstRevision = 5;
constexpr const char *LoadReport =
    R"({"inflight":0,"queued":0,"slots":4,"cold":false,"draining":false})";

std::string addressOf(int Network, int Host) {
  return "127.94." + std::to_string(Network) + "." + std::to_string(Host);
}

document::Route makeRoute(const std::string &Name, bool IsAnonymousAllowed) {
  document::Route Route;
  Route.Name_ = framework::KindName(Name);
  Route.Host_ = "x";
  Route.PathPrefix_ = "/" + Name + "/";
  Route.IsIdempotent_ = true;
  Route.Timeout_ = 20s;
  Route.LatencyObjective_ = 10s;
  Route.IsAnonymousAllowed_ = IsAnonymousAllowed;
  Route.WeightedServices_ = {{framework::ServiceName("s"), 1}};
  return Route;
}

document::Workspace makeWorkspace(const std::string &Name,
                                  const std::string &Key) {
  document::Workspace Workspace;
  Workspace.Name_ = framework::WorkspaceName(Name);
  Workspace.KeyDigests_ = {workspaces::digestKey(Key)};
  return Workspace;
}

/// `Key` is the key of workspace w1; without it there are no workspaces.
std::shared_ptr<document::EnvironmentDocument>
makeDocument(const std::string &Key) {
  auto Document = std::make_shared<document::EnvironmentDocument>();
  document::Service Service;
  Service.Name_ = framework::ServiceName("s");
  Service.ConnectionsPerTarget_ = 100;
  Service.ColdStart_.MaxRequestsPerSecond_ = 100;
  Document->Services_.push_back(Service);
  Document->Routes_ = {makeRoute("open", true), makeRoute("closed", false)};
  if (!Key.empty())
    Document->Workspaces_ = {makeWorkspace("w1", Key),
                             makeWorkspace("w2", WorkspaceFixture::SecondKey)};
  return Document;
}

/// The value of the record `c` is a version and the key of workspace w1, that
/// of the record `t` the target's address.
fleet::PublishedItem decode(const std::string &Name, const std::string &Value) {
  if (Name == "c") {
    const std::size_t Separator = Value.find(' ');
    return fleet::PublishedConfiguration{
        std::stoul(Value), makeDocument(Value.substr(Separator + 1))};
  }
  fleet::PublishedTarget Target;
  Target.Name_ = framework::TargetName(Name);
  Target.Service_ = framework::ServiceName("s");
  Target.Zone_ = framework::ZoneName("a");
  Target.Address_ = Value;
  Target.Slots_ = 4;
  return Target;
}

} // namespace

/// The metadata store. A watch is answered as soon as its short wait is over.
class WorkspaceFixture::Store : public StoreClient {
public:
  Store(WorkspaceFixture &Fixture, boost::asio::io_context &Io,
        StoreEventHandler OnEvent)
      : Fixture_(Fixture), Timer_(Io), OnEvent_(std::move(OnEvent)) {}

  void read(const decision::ReadRecords &Command) override {
    Timer_.expires_after(10ms);
    Timer_.async_wait([this, Command](const boost::system::error_code &Error) {
      if (!Error)
        answer(Command);
    });
  }

private:
  void answer(const decision::ReadRecords &Command) {
    const std::lock_guard Lock(Fixture_.Mutex_);
    const framework::Revision AsOf(Fixture_.PublishedRevision_);
    const fleet::StoredRecord Configuration{
        "c",
        std::to_string(Fixture_.PublishedRevision_) + " " +
            Fixture_.PublishedKey_,
        AsOf, false};
    if (!Fixture_.IsStoreAvailable_.load())
      OnEvent_(decision::RecordsUnavailable{
          .Kind_ = Command.After_ ? fleet::ReadKind::Changes
                                  : fleet::ReadKind::AllRecords});
    else if (!Command.After_)
      OnEvent_(
          decision::RecordsRead{{Configuration,
                                 {"t", Fixture_.TargetAddress_,
                                  framework::Revision(FirstRevision), false}},
                                AsOf});
    else if (*Command.After_ < AsOf)
      OnEvent_(decision::RecordsChanged{{Configuration}, AsOf});
    else
      OnEvent_(decision::RecordsChanged{{}, AsOf});
  }

  WorkspaceFixture &Fixture_;
  boost::asio::steady_timer Timer_;
  StoreEventHandler OnEvent_;
};

WorkspaceFixture::WorkspaceFixture(int Network, bool HasWorkspaces)
    : LogFile_(std::tmpfile()),
      Log_(std::make_unique<framework::LogWriter>(fileno(LogFile_), "entry-1")),
      TargetAddress_(addressOf(Network, 2) + ":9000"),
      Target_(
          TargetIo_,
          {boost::asio::ip::make_address(addressOf(Network, 2)), 9000},
          [this](standins::SessionId Session,
                 const standins::HttpRequest &Request) {
            handleRequest(Session, Request);
          },
          [](standins::SessionId) {}),
      TargetThread_([this] { TargetIo_.run(); }),
      Instance_(
          std::make_unique<EntryInstance>(settings(Network, HasWorkspaces))) {
  if (!Instance_->start())
    throw std::runtime_error("the instance cannot be started");
  while (!page("/readyz").starts_with("HTTP/1.1 200 ") || !isViewConfirmed())
    std::this_thread::sleep_for(10ms);
}

WorkspaceFixture::~WorkspaceFixture() {
  Instance_.reset();
  TargetIo_.stop();
  TargetThread_.join();
  Log_.reset();
  std::fclose(LogFile_);
}

EntrySettings WorkspaceFixture::settings(int Network, bool HasWorkspaces) {
  PublishedKey_ = HasWorkspaces ? FirstKey : "";
  const std::string Address = addressOf(Network, 3);
  EntrySettings Settings;
  Settings.Name_ = framework::InstanceName("entry-1");
  Settings.Zone_ = framework::ZoneName("a");
  Settings.CallerListen_ = {Address, 0};
  Settings.PeerListen_ = {Address, 0};
  Settings.OperatorListen_ = {Address, 0};
  Settings.StopLinger_ = 10ms;
  Settings.Seeds_ =
      fleet::SeedSettings{.Addresses_ = {}, .Decode_ = decode, .Bounds_ = {}};
  Settings.Seeds_->Bounds_.IsRevocationStrict_ = true;
  Settings.StoreFactory_ = [this](boost::asio::io_context &Io,
                                  StoreEventHandler OnEvent) {
    return std::make_unique<Store>(*this, Io, std::move(OnEvent));
  };
  Settings.Log_ = Log_.get();
  Settings.IsRequestLogEnabled_ = true;
  return Settings;
}

void WorkspaceFixture::handleRequest(standins::SessionId Session,
                                     const standins::HttpRequest &Request) {
  standins::HttpResponse Response;
  Response.Headers_ = {{"Attempt-Id", Request.header("attempt-id")},
                       {"Start-Id", "1"},
                       {"Load-Report", LoadReport}};
  Response.Body_ = LoadReport;
  if (Request.Target_ != "/_load") {
    const std::lock_guard Lock(Mutex_);
    for (const auto &[Name, Value] : Request.Headers_)
      ReceivedFields_ += Name + ": " + Value + "\n";
    Response.Body_ =
        Request.header("workspace") + "|" + Request.header("authorization");
  }
  Target_.respond(Session, Response);
}

std::vector<std::string>
WorkspaceFixture::send(const std::vector<std::string> &Requests) {
  RawClient Client(Instance_->callerEndpoint());
  std::string Bytes;
  for (const std::string &Request : Requests)
    Bytes += Request;
  Client.send(Bytes);
  std::vector<std::string> Responses;
  while (Responses.size() < Requests.size())
    Responses.push_back(Client.receiveResponse());
  return Responses;
}

std::string WorkspaceFixture::page(const std::string &Path) const {
  RawClient Client(Instance_->operatorEndpoint());
  Client.send(makeRequest(Path, "Connection: close\r\n"));
  return Client.receiveAll();
}

bool WorkspaceFixture::isViewConfirmed() const {
  constexpr std::string_view Name = "\ncranberryspool_view_age_seconds ";
  constexpr double LongestAgeSeconds = 1000;
  const std::string Page = page("/metrics");
  return std::stod(Page.substr(Page.find(Name) + Name.size())) <
         LongestAgeSeconds;
}

std::string WorkspaceFixture::awaitEndedCalls(std::size_t Count) {
  constexpr std::string_view Ended = "\"event\":\"request-ended\"";
  while (true) {
    std::string Text;
    std::array<char, 4096> Bytes;
    // Read at positions of their own, since the writer moves the position that
    // it shares with this file.
    while (const ssize_t Size =
               ::pread(fileno(LogFile_), Bytes.data(), Bytes.size(),
                       static_cast<off_t>(Text.size()))) {
      if (Size < 0)
        break;
      Text.append(Bytes.data(), static_cast<std::size_t>(Size));
    }
    std::size_t Found = 0;
    for (std::size_t At = Text.find(Ended); At != std::string::npos;
         At = Text.find(Ended, At + 1))
      ++Found;
    if (Found >= Count)
      return Text;
    std::this_thread::sleep_for(10ms);
  }
}

void WorkspaceFixture::publish(const std::string &KeyOfFirst) {
  const std::lock_guard Lock(Mutex_);
  PublishedKey_ = KeyOfFirst;
  ++PublishedRevision_;
}

std::string WorkspaceFixture::receivedFields() {
  const std::lock_guard Lock(Mutex_);
  return ReceivedFields_;
}

std::string makeRequest(const std::string &Path, const std::string &Fields) {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n" + Fields + "\r\n";
}

} // namespace cranberryspool::entry
