#ifndef CRANBERRYSPOOL_STANDINS_PLATFORMSTANDIN_H
#define CRANBERRYSPOOL_STANDINS_PLATFORMSTANDIN_H

#include "document/types/publishedinstance.h"
#include "framework/time.h"
#include "standins/httpserver.h"
#include "standins/publishedvalue.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cranberryspool::standins {

/// A stand-in for the platform. Serves the configuration document and the list
/// of live and leaving instances, both of which clients read and watch by HTTP.
/// Counts calls and rejects those above its rate limit. Used only by the thread
/// of its I/O context.
class PlatformStandin {
public:
  PlatformStandin(boost::asio::io_context &Context,
                  const boost::asio::ip::tcp::endpoint &Address,
                  std::uint32_t CallsPerSecond);

  void publishDocument(std::string Text);
  void setDocumentMode(PlatformMode Mode);
  void setInstancesMode(PlatformMode Mode);

  /// Adds or replaces an entry of the instance list. Readers see the change
  /// after the list lag.
  void setInstance(const document::PublishedInstance &Instance);

  /// Removes an entry of the instance list. Readers see the change after the
  /// list lag.
  void removeInstance(const framework::InstanceName &Name);

  void setListLag(framework::Duration Lag) { ListLag_ = Lag; }

  /// Sets the readers whose requests are answered with status 503, by instance
  /// name. `*` blocks all readers.
  void setBlockedReaders(std::set<std::string> Names);

  /// The number of calls from readers that are not blocked.
  std::uint64_t callCount() const { return CallCount_; }
  /// The number of calls rejected by the rate limit.
  std::uint64_t refusedCount() const { return RefusedCount_; }
  /// The maximum number of calls counted in one interval of a second.
  std::uint32_t maxCallsInSecond() const { return MaxCallsInSecond_; }
  std::uint64_t documentRevision() const { return Document_.last().Revision_; }

private:
  using Clock = std::chrono::steady_clock;

  struct Watch {
    const PublishedValue *WatchedValue_ = nullptr;
    std::uint64_t NewerThan_ = 0;
    Clock::time_point Deadline_;
  };

  void handleRequest(SessionId Session, const HttpRequest &Request);
  bool countCall();
  bool isBlocked(const HttpRequest &Request) const;
  void sendValue(SessionId Session, const PublishedValue &Value);
  void sendStatus(SessionId Session, unsigned Status);
  void completeWatches();
  void scheduleListPublication();
  void publishInstanceList();
  void scheduleWatchCheck();

  boost::asio::io_context &Context_;
  std::uint32_t CallsPerSecond_;
  PublishedValue Document_;
  PublishedValue InstanceList_;
  std::map<framework::InstanceName, document::PublishedInstance> Instances_;
  framework::Duration ListLag_{};
  std::set<std::string> BlockedReaders_;
  std::map<SessionId, Watch> Watches_;
  boost::asio::steady_timer Timer_;
  Clock::time_point SecondStart_{};
  std::uint32_t CallsInSecond_ = 0;
  std::uint32_t MaxCallsInSecond_ = 0;
  std::uint64_t CallCount_ = 0;
  std::uint64_t RefusedCount_ = 0;
  HttpServer Server_;
};

} // namespace cranberryspool::standins

#endif // CRANBERRYSPOOL_STANDINS_PLATFORMSTANDIN_H
