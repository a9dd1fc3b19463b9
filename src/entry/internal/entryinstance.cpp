#include "entry/entryinstance.h"

#include "entry/internal/callerserver.h"
#include "entry/internal/dispatcher.h"
#include "entry/internal/httpservice.h"
#include "entry/internal/listen.h"
#include "entry/internal/operatorpages.h"
#include "entry/internal/peerfetcher.h"
#include "entry/internal/peermessenger.h"
#include "entry/internal/peerrpcservice.h"
#include "entry/internal/platformreader.h"
#include "entry/internal/storereader.h"
#include "entry/internal/targetconnectionpool.h"
#include "framework/runtime/clocks.h"
#include "framework/runtime/supervisor.h"
#include "workspaces/makeprocesssecret.h"

#include <boost/asio/executor_work_guard.hpp>

#include <condition_variable>
#include <random>

namespace cranberryspool::entry {

namespace net = boost::asio;
using framework::Result;
using framework::Supervisor;
using net::ip::tcp;

namespace {

/// A failure of a worker on the call path ends the process, since the calls in
/// progress are lost with the worker's state; the platform then replaces the
/// instance.
constexpr framework::RestartLimit CallPathRestartLimit{0,
                                                       std::chrono::seconds(1)};
constexpr framework::RestartLimit ControlRestartLimit{5,
                                                      std::chrono::seconds(60)};

constexpr std::size_t MaxOperatorRequestBodyBytes = 1024;

/// Runs a worker's object on an I/O context of its own until a stop is
/// requested.
template <typename WorkerFactory>
void runWorker(const std::stop_token &Token, WorkerFactory Factory) {
  net::io_context Io(1);
  const auto Worker = Factory(Io);
  const auto WorkGuard = net::make_work_guard(Io);
  const std::stop_callback OnStop(Token, [&Io] { Io.stop(); });
  Io.run();
}

/// Starts a worker; `Factory` creates its object anew at each restart.
template <typename WorkerFactory>
void startWorker(Supervisor &Group, std::string Name, WorkerFactory Factory) {
  Group.start({std::move(Name), [Factory](const std::stop_token &Token) {
                 runWorker(Token, Factory);
               }});
}

/// Returns the start time in microseconds, so that a later start has a higher
/// number.
framework::Incarnation makeIncarnation() {
  const auto Started = framework::readMoment().Wall_.time_since_epoch();
  return framework::Incarnation(static_cast<std::uint64_t>(Started.count()));
}

std::uint64_t randomSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

} // namespace

/// The workers of an instance in two groups: those of the call path, whose
/// failure ends the process, and the control workers, which are restarted.
class EntryInstance::Impl {
public:
  explicit Impl(EntrySettings Settings);
  ~Impl();

  Result<void, StartFailure> start();
  void requestStop();
  void postEvent(decision::Event Event);
  ExitCode waitUntilStopped();

  Endpoint callerEndpoint() const { return endpointOf(CallerListener_); }
  Endpoint operatorEndpoint() const { return endpointOf(OperatorListener_); }

private:
  static Endpoint endpointOf(const tcp::acceptor &Listener);
  Result<void, StartFailure> bind(tcp::acceptor &Listener,
                                  const Endpoint &Address);
  void startCallPathWorkers();
  std::optional<tcp::acceptor> duplicateForwardListener(net::io_context &Io);
  void startControlWorkers();
  void startOperatorPages(std::string Worker, tcp::acceptor &Listener);
  /// Binds the metrics endpoint; an instance that cannot do so serves without
  /// it.
  void bindMetrics();
  /// Only one worker may accept connections at the peer endpoint.
  void startPeerMessenger(bool AcceptsConnections);
  void startPeerWorkers();
  void setExitCode(ExitCode Code);
  void onRestartLimitReached(const std::string &Worker);
  decision::Core makeCore() const;

  const EntrySettings Settings_;
  const framework::Incarnation Incarnation_ = makeIncarnation();
  WorkerMailboxes Mailboxes_;
  InstanceState State_;
  const DecisionLog Log_;
  /// The context of the listening sockets. Workers accept on duplicates of
  /// them, each on a context of its own.
  net::io_context ListenIo_;
  tcp::acceptor CallerListener_;
  tcp::acceptor OperatorListener_;
  tcp::acceptor MetricsListener_;
  tcp::acceptor PeerListener_;
  tcp::acceptor ForwardListener_;
  net::ip::udp::socket PeerSocket_;
  /// Used by the worker "store" only.
  UnansweredReads UnansweredReads_;
  std::mutex ExitCodeMutex_;
  std::condition_variable ExitCodeSet_;
  std::optional<ExitCode> ExitCode_;
  Supervisor Control_;
  Supervisor CallPath_;
};

EntryInstance::Impl::Impl(EntrySettings Settings)
    : Settings_(std::move(Settings)),
      State_(Settings_.Limits_, Mailboxes_, Settings_.HttpProfile_),
      Log_(Settings_.Log_, Settings_.IsRequestLogEnabled_),
      CallerListener_(ListenIo_), OperatorListener_(ListenIo_),
      MetricsListener_(ListenIo_), PeerListener_(ListenIo_),
      ForwardListener_(ListenIo_), PeerSocket_(ListenIo_),
      Control_(
          ControlRestartLimit,
          [this](const std::string &Worker, const char *Reason) {
            Log_.logWorkerFailure(Worker, Reason);
          },
          [this](const std::string &Worker) { onRestartLimitReached(Worker); }),
      CallPath_(
          CallPathRestartLimit,
          [this](const std::string &Worker, const char *Reason) {
            Log_.logWorkerFailure(Worker, Reason);
          },
          [this](const std::string &Worker) {
            onRestartLimitReached(Worker);
          }) {}

void EntryInstance::Impl::onRestartLimitReached(const std::string &Worker) {
  Log_.logRestartLimitReached(Worker);
  setExitCode(ExitCode::WorkerFailed);
}

EntryInstance::Impl::~Impl() {
  CallPath_.stop();
  Control_.stop();
}

Endpoint EntryInstance::Impl::endpointOf(const tcp::acceptor &Listener) {
  const tcp::endpoint Address = Listener.local_endpoint();
  return Endpoint{Address.address().to_string(), Address.port()};
}

Result<void, StartFailure> EntryInstance::Impl::bind(tcp::acceptor &Listener,
                                                     const Endpoint &Address) {
  auto Bound = listen(ListenIo_, Address);
  if (!Bound)
    return StartFailure{Address, Bound.error()};
  Listener = std::move(Bound.value());
  return framework::success();
}

Result<void, StartFailure> EntryInstance::Impl::start() {
  BOOST_OUTCOME_TRY(bind(CallerListener_, Settings_.CallerListen_));
  BOOST_OUTCOME_TRY(bind(OperatorListener_, Settings_.OperatorListen_));
  BOOST_OUTCOME_TRY(bind(PeerListener_, Settings_.PeerListen_));
  auto Socket = bindDatagramSocket(ListenIo_, endpointOf(PeerListener_));
  if (!Socket)
    return StartFailure{Settings_.PeerListen_, Socket.error()};
  PeerSocket_ = std::move(Socket.value());
  if (Settings_.ForwardListen_) {
    BOOST_OUTCOME_TRY(bind(ForwardListener_, *Settings_.ForwardListen_));
  }
  bindMetrics();
  startControlWorkers();
  startCallPathWorkers();
  return framework::success();
}

void EntryInstance::Impl::startCallPathWorkers() {
  startWorker(CallPath_, "dispatch", [this](net::io_context &Io) {
    return std::make_unique<Dispatcher>(Io, makeCore(), Mailboxes_, State_,
                                        Log_);
  });
  startWorker(CallPath_, "targets", [this](net::io_context &Io) {
    return std::make_unique<TargetConnectionPool>(Io, Settings_.Limits_,
                                                  Mailboxes_, State_);
  });
  startWorker(CallPath_, "callers", [this](net::io_context &Io) {
    return std::make_unique<CallerServer>(
        Io, duplicateListener(Io, CallerListener_),
        duplicateForwardListener(Io), Settings_.Limits_,
        framework::CallId(Incarnation_.value()), Mailboxes_, State_,
        [this] { setExitCode(ExitCode::Stopped); });
  });
}

std::optional<tcp::acceptor>
EntryInstance::Impl::duplicateForwardListener(net::io_context &Io) {
  if (!ForwardListener_.is_open())
    return std::nullopt;
  return duplicateListener(Io, ForwardListener_);
}

void EntryInstance::Impl::startOperatorPages(std::string Worker,
                                             tcp::acceptor &Listener) {
  startWorker(
      Control_, std::move(Worker), [this, &Listener](net::io_context &Io) {
        return std::make_unique<HttpService>(
            Io, duplicateListener(Io, Listener), MaxOperatorRequestBodyBytes,
            [Pages = OperatorPages(Settings_, Mailboxes_, State_)](
                const ServiceRequest &Request) {
              return Pages.handle(Request);
            });
      });
}

void EntryInstance::Impl::bindMetrics() {
  if (!Settings_.MetricsListen_)
    return;
  auto Bound = listen(ListenIo_, *Settings_.MetricsListen_);
  if (Bound)
    MetricsListener_ = std::move(Bound.value());
  else
    Log_.logMetricsUnavailable(textOf(*Settings_.MetricsListen_),
                               Bound.error().message());
}

void EntryInstance::Impl::startControlWorkers() {
  startOperatorPages("operator", OperatorListener_);
  if (MetricsListener_.is_open())
    startOperatorPages("metrics", MetricsListener_);
  if (Settings_.StoreFactory_) {
    startWorker(Control_, "store", [this](net::io_context &Io) {
      return std::make_unique<StoreReader>(Io, Settings_.StoreFactory_,
                                           Mailboxes_, UnansweredReads_);
    });
    startPeerMessenger(/*AcceptsConnections=*/true);
    return;
  }
  startWorker(Control_, "platform", [this](net::io_context &Io) {
    return std::make_unique<PlatformReader>(Io, Settings_, Mailboxes_);
  });
  startPeerWorkers();
}

void EntryInstance::Impl::startPeerMessenger(bool AcceptsConnections) {
  startWorker(Control_, "peer-messages",
              [this, AcceptsConnections](net::io_context &Io) {
                std::optional<tcp::acceptor> Acceptor;
                if (AcceptsConnections)
                  Acceptor = duplicateListener(Io, PeerListener_);
                return std::make_unique<PeerMessenger>(
                    Io, duplicateSocket(Io, PeerSocket_), std::move(Acceptor),
                    Mailboxes_);
              });
}

void EntryInstance::Impl::startPeerWorkers() {
  startPeerMessenger(/*AcceptsConnections=*/false);
  startWorker(Control_, "peer-server", [this](net::io_context &Io) {
    return std::make_unique<HttpService>(
        Io, duplicateListener(Io, PeerListener_),
        Settings_.Limits_.PlatformBytes_,
        [RpcService = std::make_shared<PeerRpcService>(State_)](
            const ServiceRequest &Request) {
          return RpcService->handle(Request);
        });
  });
  startWorker(Control_, "peer-sections", [this](net::io_context &Io) {
    return std::make_unique<PeerFetcher<decision::FetchSections>>(
        Io, Settings_, Mailboxes_.SectionFetches_, Mailboxes_, State_);
  });
  startWorker(Control_, "peer-answers", [this](net::io_context &Io) {
    return std::make_unique<PeerFetcher<decision::FetchKeptAnswer>>(
        Io, Settings_, Mailboxes_.StoredResponseFetches_, Mailboxes_, State_);
  });
}

decision::Core EntryInstance::Impl::makeCore() const {
  decision::CoreSettings Settings;
  Settings.Self_ = Settings_.Name_;
  Settings.Zone_ = Settings_.Zone_;
  Settings.StopLinger_ = Settings_.StopLinger_;
  Settings.StopGracePeriod_ = Settings_.StopGracePeriod_;
  Settings.PeerAddress_ = textOf(endpointOf(PeerListener_));
  Settings.Incarnation_ = Incarnation_;
  if (ForwardListener_.is_open())
    Settings.ForwardPort_ = ForwardListener_.local_endpoint().port();
  Settings.Seeds_ = Settings_.Seeds_;
  Settings.ReportsAttempts_ = Settings_.IsRequestLogEnabled_;
  Settings.Admission_ = Settings_.Admission_;
  Settings.IsSlotSharingEnabled_ = Settings_.IsSlotSharingEnabled_;
  Settings.KeyIndexSecret_ = workspaces::makeProcessSecret();
  return decision::Core(std::move(Settings), framework::Random(randomSeed()));
}

void EntryInstance::Impl::requestStop() {
  State_.IsReady_.store(false);
  postEvent(decision::StopRequested{});
}

void EntryInstance::Impl::postEvent(decision::Event Event) {
  DispatchInput Input;
  Input.Event_ = std::move(Event);
  while (!Mailboxes_.Dispatch_.tryPush(Input))
    std::this_thread::yield();
}

void EntryInstance::Impl::setExitCode(ExitCode Code) {
  const std::lock_guard Lock(ExitCodeMutex_);
  if (!ExitCode_)
    ExitCode_ = Code;
  ExitCodeSet_.notify_all();
}

ExitCode EntryInstance::Impl::waitUntilStopped() {
  std::unique_lock Lock(ExitCodeMutex_);
  ExitCodeSet_.wait(Lock, [this] { return ExitCode_.has_value(); });
  return *ExitCode_;
}

EntryInstance::EntryInstance(EntrySettings Settings)
    : Impl_(std::make_unique<Impl>(std::move(Settings))) {}

EntryInstance::~EntryInstance() = default;

Result<void, StartFailure> EntryInstance::start() { return Impl_->start(); }

void EntryInstance::requestStop() { Impl_->requestStop(); }

void EntryInstance::setSeeds(std::vector<std::string> Addresses) {
  Impl_->postEvent(decision::SeedsChanged{std::move(Addresses)});
}

ExitCode EntryInstance::waitUntilStopped() { return Impl_->waitUntilStopped(); }

Endpoint EntryInstance::callerEndpoint() const {
  return Impl_->callerEndpoint();
}

Endpoint EntryInstance::operatorEndpoint() const {
  return Impl_->operatorEndpoint();
}

} // namespace cranberryspool::entry
