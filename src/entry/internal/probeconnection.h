#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PROBECONNECTION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PROBECONNECTION_H

#include "decision/types/actions/probetarget.h"
#include "decision/types/events/probeanswered.h"
#include "entry/httpgetclient.h"
#include "framework/time.h"

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class TargetConnections;

/// Asks one target for its load, one probe at a time, over a connection that is
/// kept between probes.
class ProbeConnection {
public:
  explicit ProbeConnection(TargetConnections &Pool);
  ~ProbeConnection();
  ProbeConnection(const ProbeConnection &) = delete;
  ProbeConnection &operator=(const ProbeConnection &) = delete;

  /// Starts a probe; its outcome is told in bounded time. One that is under way
  /// is given up.
  void ask(const decision::ProbeTarget &Order);

private:
  void onAnswer(const std::optional<HttpGetClient::Response> &Given);
  std::optional<decision::ProbeAnswered>
  readAnswer(const HttpGetClient::Response &Given) const;

  TargetConnections &Pool_;
  std::shared_ptr<HttpGetClient> Exchange_;
  std::optional<decision::ProbeTarget> Order_;
  framework::Instant Started_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PROBECONNECTION_H
