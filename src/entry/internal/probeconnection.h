#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PROBECONNECTION_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PROBECONNECTION_H

#include "decision/types/actions/probetarget.h"
#include "decision/types/events/probeanswered.h"
#include "entry/httpgetclient.h"
#include "framework/time.h"

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class TargetConnectionPool;

/// Sends load probes to one target, one at a time, over a connection that is
/// kept open between probes.
class ProbeConnection {
public:
  explicit ProbeConnection(TargetConnectionPool &Pool);
  ~ProbeConnection();
  ProbeConnection(const ProbeConnection &) = delete;
  ProbeConnection &operator=(const ProbeConnection &) = delete;

  /// Sends a probe, whose outcome is reported as an event in bounded time. A
  /// probe in progress is cancelled and reported as failed.
  void send(const decision::ProbeTarget &Command);

private:
  void onResponse(const std::optional<HttpGetClient::Response> &Response);
  std::optional<decision::ProbeAnswered>
  readResponse(const HttpGetClient::Response &Response) const;

  TargetConnectionPool &Pool_;
  std::shared_ptr<HttpGetClient> Client_;
  std::optional<decision::ProbeTarget> Command_;
  framework::Instant StartedAt_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PROBECONNECTION_H
