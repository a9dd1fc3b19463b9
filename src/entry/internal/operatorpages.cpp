#include "entry/internal/operatorpages.h"

#include "decision/core.h"
#include "entry/internal/callstatistics.h"
#include "entry/internal/metricspage.h"
#include "entry/internal/statuspage.h"
#include "framework/log/logwriter.h"

#include <future>

namespace cranberryspool::entry {

namespace {

constexpr std::chrono::seconds DispatchTimeout{1};
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned ServiceUnavailable = 503;

/// Has the dispatch duty write a text and waits for it; nothing when it does
/// not in time.
template <typename Write>
std::optional<std::string> askDispatch(Mailboxes &Rings, Write WriteText) {
  const auto Answer = std::make_shared<std::promise<std::string>>();
  DispatchInput Input;
  Input.Inspect_ = [Answer, WriteText](const decision::Core &Core,
                                       const CallStatistics &Statistics) {
    Answer->set_value(WriteText(Core, Statistics));
  };
  std::future<std::string> Text = Answer->get_future();
  if (!Rings.Dispatch_.tryPush(Input) ||
      Text.wait_for(DispatchTimeout) != std::future_status::ready)
    return std::nullopt;
  return Text.get();
}

ServiceAnswer answerOf(std::optional<std::string> Text, std::string Type) {
  if (!Text)
    return {ServiceUnavailable, "text/plain", "the dispatch duty is silent\n"};
  return {200, std::move(Type), std::move(*Text)};
}

} // namespace

OperatorPages::OperatorPages(const EntrySettings &Settings, Mailboxes &Rings,
                             InstanceState &Shared)
    : Settings_(Settings), Rings_(Rings), Shared_(Shared) {}

ServiceAnswer OperatorPages::answer(const ServiceQuestion &Question) const {
  if (Question.Method_ != "GET" && Question.Method_ != "HEAD")
    return {MethodNotAllowed, "text/plain", "only GET\n"};
  if (Question.Path_ == "/healthz")
    return health();
  if (Question.Path_ == "/readyz")
    return readiness();
  if (Question.Path_ == "/status")
    return status();
  if (Question.Path_ == "/metrics")
    return metrics();
  return {NotFound, "text/plain", "no such page\n"};
}

ServiceAnswer OperatorPages::health() const {
  return answerOf(askDispatch(Rings_,
                              [](const decision::Core &, const CallStatistics &)
                                  -> std::string { return "ok\n"; }),
                  "text/plain");
}

ServiceAnswer OperatorPages::readiness() const {
  if (Shared_.IsReady_.load())
    return {200, "text/plain", "ready\n"};
  return {ServiceUnavailable, "text/plain", "not ready\n"};
}

ServiceAnswer OperatorPages::status() const {
  return answerOf(askDispatch(Rings_,
                              [Name = Settings_.Name_, Zone = Settings_.Zone_](
                                  const decision::Core &Core,
                                  const CallStatistics &Statistics) {
                                return writeStatus(Name, Zone, Core.status(),
                                                   Statistics);
                              }),
                  "application/json");
}

ServiceAnswer OperatorPages::metrics() const {
  const ShellFigures Shell{Shared_.RequestBytes_.used(),
                           Shared_.AnswerBytes_.used(),
                           Shared_.KeptAnswers_.usedBytes(),
                           Settings_.Log_ ? Settings_.Log_->dropped() : 0};
  return answerOf(askDispatch(Rings_,
                              [Shell](const decision::Core &Core,
                                      const CallStatistics &Statistics) {
                                return writeMetrics(Core.counters(),
                                                    Core.status(), Shell,
                                                    Statistics);
                              }),
                  "text/plain; version=0.0.4");
}

} // namespace cranberryspool::entry
