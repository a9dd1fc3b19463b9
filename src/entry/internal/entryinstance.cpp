#include "entry/entryinstance.h"

#include "entry/internal/callerserver.h"
#include "entry/internal/dispatcher.h"
#include "entry/internal/httpservice.h"
#include "entry/internal/listen.h"
#include "entry/internal/operatorpages.h"
#include "entry/internal/peerfetcher.h"
#include "entry/internal/peerlibrary.h"
#include "entry/internal/peermessenger.h"
#include "entry/internal/platformreader.h"
#include "entry/internal/storereader.h"
#include "entry/internal/targetconnections.h"
#include "framework/runtime/clocks.h"
#include "framework/runtime/supervisor.h"

#include <boost/asio/executor_work_guard.hpp>

#include <condition_variable>
#include <random>

namespace cranberryspool::entry {

namespace net = boost::asio;
using framework::Result;
using framework::Supervisor;
using net::ip::tcp;

namespace {

/// Calls in hand would be lost with the state of one of these duties: a failure
/// ends the process, and the platform replaces the instance.
constexpr framework::RestartLimit CallPathLimit{0, std::chrono::seconds(1)};
constexpr framework::RestartLimit ControlLimit{5, std::chrono::seconds(60)};

constexpr std::size_t OperatorBodyBytes = 1024;

/// Runs a duty's object on an I/O context of its own until the stop.
template <typename Make>
void runDuty(const std::stop_token &Token, Make MakeDuty) {
  net::io_context Io(1);
  const auto Duty = MakeDuty(Io);
  const auto Work = net::make_work_guard(Io);
  const std::stop_callback OnStop(Token, [&Io] { Io.stop(); });
  Io.run();
}

/// Starts a duty whose object `MakeDuty` makes anew at each restart.
template <typename Make>
void startDuty(Supervisor &Group, std::string Name, Make MakeDuty) {
  Group.start({std::move(Name), [MakeDuty](const std::stop_token &Token) {
                 runDuty(Token, MakeDuty);
               }});
}

/// The start time in microseconds: a later start has the higher number.
framework::Incarnation newIncarnation() {
  const auto Started = framework::readMoment().Wall_.time_since_epoch();
  return framework::Incarnation(static_cast<std::uint64_t>(Started.count()));
}

std::uint64_t randomSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32) | Source();
}

} // namespace

/// The duties, in two groups: one whose failure ends the process, one whose
/// duties are restarted.
class EntryInstance::Workings {
public:
  explicit Workings(EntrySettings Settings);
  ~Workings();

  Result<void, StartFailure> start();
  void requestStop();
  void tell(decision::Event Event);
  ExitCode waitUntilStopped();

  Endpoint callerEndpoint() const { return endpointOf(CallerListener_); }
  Endpoint operatorEndpoint() const { return endpointOf(OperatorListener_); }

private:
  static Endpoint endpointOf(const tcp::acceptor &Listener);
  Result<void, StartFailure> bind(tcp::acceptor &Listener, const Endpoint &At);
  void startCallPath();
  void startControl();
  void startOperatorPages(std::string Duty, tcp::acceptor &Listener);
  /// An instance serves without the address for metrics, if it must.
  void bindMetrics();
  void startMessenger();
  void startPeerDuties();
  void end(ExitCode Code);
  void giveUp(const std::string &Duty);
  decision::Core makeCore() const;

  const EntrySettings Settings_;
  const framework::Incarnation Incarnation_ = newIncarnation();
  Mailboxes Rings_;
  InstanceState Shared_;
  const DecisionLog Log_;
  /// Holds the listeners; each duty accepts on a context of its own.
  net::io_context ListenIo_;
  tcp::acceptor CallerListener_;
  tcp::acceptor OperatorListener_;
  tcp::acceptor MetricsListener_;
  tcp::acceptor PeerListener_;
  net::ip::udp::socket PeerSocket_;
  std::mutex EndLock_;
  std::condition_variable Ended_;
  std::optional<ExitCode> ExitCode_;
  Supervisor Control_;
  Supervisor CallPath_;
};

EntryInstance::Workings::Workings(EntrySettings Settings)
    : Settings_(std::move(Settings)),
      Shared_(Settings_.Limits_, Rings_, Settings_.HttpProfile_),
      Log_(Settings_.Log_, Settings_.IsRequestLogEnabled_),
      CallerListener_(ListenIo_), OperatorListener_(ListenIo_),
      MetricsListener_(ListenIo_), PeerListener_(ListenIo_),
      PeerSocket_(ListenIo_),
      Control_(
          ControlLimit,
          [this](const std::string &Duty, const char *Reason) {
            Log_.noteDutyFailed(Duty, Reason);
          },
          [this](const std::string &Duty) { giveUp(Duty); }),
      CallPath_(
          CallPathLimit,
          [this](const std::string &Duty, const char *Reason) {
            Log_.noteDutyFailed(Duty, Reason);
          },
          [this](const std::string &Duty) { giveUp(Duty); }) {}

void EntryInstance::Workings::giveUp(const std::string &Duty) {
  Log_.noteGivenUp(Duty);
  end(ExitCode::DutyFailed);
}

EntryInstance::Workings::~Workings() {
  CallPath_.stop();
  Control_.stop();
}

Endpoint EntryInstance::Workings::endpointOf(const tcp::acceptor &Listener) {
  const tcp::endpoint At = Listener.local_endpoint();
  return Endpoint{At.address().to_string(), At.port()};
}

Result<void, StartFailure>
EntryInstance::Workings::bind(tcp::acceptor &Listener, const Endpoint &At) {
  auto Bound = listen(ListenIo_, At);
  if (!Bound)
    return StartFailure{At, Bound.error()};
  Listener = std::move(Bound.value());
  return framework::success();
}

Result<void, StartFailure> EntryInstance::Workings::start() {
  BOOST_OUTCOME_TRY(bind(CallerListener_, Settings_.CallerListen_));
  BOOST_OUTCOME_TRY(bind(OperatorListener_, Settings_.OperatorListen_));
  BOOST_OUTCOME_TRY(bind(PeerListener_, Settings_.PeerListen_));
  auto Socket = listenForDatagrams(ListenIo_, endpointOf(PeerListener_));
  if (!Socket)
    return StartFailure{Settings_.PeerListen_, Socket.error()};
  PeerSocket_ = std::move(Socket.value());
  bindMetrics();
  startControl();
  startCallPath();
  return framework::success();
}

void EntryInstance::Workings::startCallPath() {
  startDuty(CallPath_, "dispatch", [this](net::io_context &Io) {
    return std::make_unique<Dispatcher>(Io, makeCore(), Rings_, Shared_, Log_);
  });
  startDuty(CallPath_, "targets", [this](net::io_context &Io) {
    return std::make_unique<TargetConnections>(Io, Settings_.Limits_, Rings_,
                                               Shared_);
  });
  startDuty(CallPath_, "callers", [this](net::io_context &Io) {
    return std::make_unique<CallerServer>(
        Io, shareListener(Io, CallerListener_), Settings_.Limits_,
        framework::CallId(Incarnation_.value()), Rings_, Shared_,
        [this] { end(ExitCode::Stopped); });
  });
}

void EntryInstance::Workings::startOperatorPages(std::string Duty,
                                                 tcp::acceptor &Listener) {
  startDuty(Control_, std::move(Duty), [this, &Listener](net::io_context &Io) {
    return std::make_unique<HttpService>(
        Io, shareListener(Io, Listener), OperatorBodyBytes,
        [Pages = OperatorPages(Settings_, Rings_, Shared_)](
            const ServiceQuestion &Question) {
          return Pages.answer(Question);
        });
  });
}

void EntryInstance::Workings::bindMetrics() {
  if (!Settings_.MetricsListen_)
    return;
  auto Bound = listen(ListenIo_, *Settings_.MetricsListen_);
  if (Bound)
    MetricsListener_ = std::move(Bound.value());
  else
    Log_.noteNoMetrics(textOf(*Settings_.MetricsListen_),
                       Bound.error().message());
}

void EntryInstance::Workings::startControl() {
  startOperatorPages("operator", OperatorListener_);
  if (MetricsListener_.is_open())
    startOperatorPages("metrics", MetricsListener_);
  if (Settings_.StoreFactory_) {
    startDuty(Control_, "store", [this](net::io_context &Io) {
      return std::make_unique<StoreReader>(Io, Settings_.StoreFactory_, Rings_);
    });
    startMessenger();
    return;
  }
  startDuty(Control_, "platform", [this](net::io_context &Io) {
    return std::make_unique<PlatformReader>(Io, Settings_, Rings_);
  });
  startPeerDuties();
}

void EntryInstance::Workings::startMessenger() {
  startDuty(Control_, "peer-messages", [this](net::io_context &Io) {
    return std::make_unique<PeerMessenger>(Io, shareSocket(Io, PeerSocket_),
                                           Rings_);
  });
}

void EntryInstance::Workings::startPeerDuties() {
  startMessenger();
  startDuty(Control_, "peer-server", [this](net::io_context &Io) {
    return std::make_unique<HttpService>(
        Io, shareListener(Io, PeerListener_), Settings_.Limits_.PlatformBytes_,
        [Library = std::make_shared<PeerLibrary>(Shared_)](
            const ServiceQuestion &Question) {
          return Library->answer(Question);
        });
  });
  startDuty(Control_, "peer-sections", [this](net::io_context &Io) {
    return std::make_unique<PeerFetcher<decision::FetchSections>>(
        Io, Settings_, Rings_.SectionFetches_, Rings_, Shared_);
  });
  startDuty(Control_, "peer-answers", [this](net::io_context &Io) {
    return std::make_unique<PeerFetcher<decision::FetchKeptAnswer>>(
        Io, Settings_, Rings_.AnswerFetches_, Rings_, Shared_);
  });
}

decision::Core EntryInstance::Workings::makeCore() const {
  decision::CoreSettings Core;
  Core.Self_ = Settings_.Name_;
  Core.Zone_ = Settings_.Zone_;
  Core.StopLinger_ = Settings_.StopLinger_;
  Core.PeerAddress_ = textOf(endpointOf(PeerListener_));
  Core.Incarnation_ = Incarnation_;
  Core.Seeds_ = Settings_.Seeds_;
  Core.ReportsAttempts_ = Settings_.IsRequestLogEnabled_;
  return decision::Core(std::move(Core), framework::Random(randomSeed()));
}

void EntryInstance::Workings::requestStop() {
  Shared_.IsReady_.store(false);
  tell(decision::StopRequested{});
}

void EntryInstance::Workings::tell(decision::Event Event) {
  DispatchInput Input;
  Input.Event_ = std::move(Event);
  while (!Rings_.Dispatch_.tryPush(Input))
    std::this_thread::yield();
}

void EntryInstance::Workings::end(ExitCode Code) {
  const std::lock_guard Guard(EndLock_);
  if (!ExitCode_)
    ExitCode_ = Code;
  Ended_.notify_all();
}

ExitCode EntryInstance::Workings::waitUntilStopped() {
  std::unique_lock Guard(EndLock_);
  Ended_.wait(Guard, [this] { return ExitCode_.has_value(); });
  return *ExitCode_;
}

EntryInstance::EntryInstance(EntrySettings Settings)
    : Workings_(std::make_unique<Workings>(std::move(Settings))) {}

EntryInstance::~EntryInstance() = default;

Result<void, StartFailure> EntryInstance::start() { return Workings_->start(); }

void EntryInstance::requestStop() { Workings_->requestStop(); }

void EntryInstance::setSeeds(std::vector<std::string> Addresses) {
  Workings_->tell(decision::SeedsChanged{std::move(Addresses)});
}

ExitCode EntryInstance::waitUntilStopped() {
  return Workings_->waitUntilStopped();
}

Endpoint EntryInstance::callerEndpoint() const {
  return Workings_->callerEndpoint();
}

Endpoint EntryInstance::operatorEndpoint() const {
  return Workings_->operatorEndpoint();
}

} // namespace cranberryspool::entry
