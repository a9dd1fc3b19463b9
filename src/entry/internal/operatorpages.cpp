#include "entry/internal/operatorpages.h"

#include "decision/core.h"
#include "entry/internal/callstatistics.h"
#include "entry/internal/metricspage.h"
#include "entry/internal/statuspage.h"
#include "framework/log/logwriter.h"

#include <future>

namespace cranberryspool::entry {

namespace {

constexpr std::chrono::seconds DispatchResponseTimeout{1};
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned ServiceUnavailable = 503;

/// Runs `Writer` on the dispatch worker and waits for its text. Returns nothing
/// when that takes longer than the timeout.
template <typename TextWriter>
std::optional<std::string> queryDispatcher(WorkerMailboxes &Mailboxes,
                                           TextWriter Writer) {
  const auto Promise = std::make_shared<std::promise<std::string>>();
  DispatchInput Input;
  Input.Inspect_ = [Promise, Writer](const decision::Core &Core,
                                     const CallStatistics &Statistics) {
    Promise->set_value(Writer(Core, Statistics));
  };
  std::future<std::string> Text = Promise->get_future();
  if (!Mailboxes.Dispatch_.tryPush(Input) ||
      Text.wait_for(DispatchResponseTimeout) != std::future_status::ready)
    return std::nullopt;
  return Text.get();
}

ServiceResponse makeResponse(std::optional<std::string> Text,
                             std::string Type) {
  if (!Text)
    return {ServiceUnavailable, "text/plain", "the dispatch duty is silent\n"};
  return {200, std::move(Type), std::move(*Text)};
}

} // namespace

OperatorPages::OperatorPages(const EntrySettings &Settings,
                             WorkerMailboxes &Mailboxes, InstanceState &State)
    : Settings_(Settings), Mailboxes_(Mailboxes), State_(State) {}

ServiceResponse OperatorPages::handle(const ServiceRequest &Request) const {
  if (Request.Method_ != "GET" && Request.Method_ != "HEAD")
    return {MethodNotAllowed, "text/plain", "only GET\n"};
  if (Request.Path_ == "/healthz")
    return health();
  if (Request.Path_ == "/readyz")
    return readiness();
  if (Request.Path_ == "/status")
    return status();
  if (Request.Path_ == "/metrics")
    return metrics();
  return {NotFound, "text/plain", "no such page\n"};
}

ServiceResponse OperatorPages::health() const {
  return makeResponse(
      queryDispatcher(Mailboxes_,
                      [](const decision::Core &, const CallStatistics &)
                          -> std::string { return "ok\n"; }),
      "text/plain");
}

ServiceResponse OperatorPages::readiness() const {
  if (State_.IsReady_.load())
    return {200, "text/plain", "ready\n"};
  return {ServiceUnavailable, "text/plain", "not ready\n"};
}

ServiceResponse OperatorPages::status() const {
  return makeResponse(
      queryDispatcher(
          Mailboxes_,
          [Name = Settings_.Name_, Zone = Settings_.Zone_](
              const decision::Core &Core, const CallStatistics &Statistics) {
            return writeStatus(Name, Zone, Core.status(), Statistics);
          }),
      "application/json");
}

ServiceResponse OperatorPages::metrics() const {
  const ResourceUsage Usage{
      State_.RequestBytes_.used(), State_.ResponseBytes_.used(),
      State_.InputBytes_.used(), State_.StoredResponses_.usedBytes(),
      Settings_.Log_ ? Settings_.Log_->dropped() : 0};
  return makeResponse(
      queryDispatcher(Mailboxes_,
                      [Usage](const decision::Core &Core,
                              const CallStatistics &Statistics) {
                        return writeMetrics(Core.counters(), Core.status(),
                                            Usage, Statistics);
                      }),
      "text/plain; version=0.0.4");
}

} // namespace cranberryspool::entry
