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

/// The platform: the configuration service and the list of live and leaving
/// instances, both read and watched by HTTP. Counts every call and refuses
/// those above its rate. Used by the thread of its I/O context only.
class PlatformStandin {
public:
  PlatformStandin(boost::asio::io_context &Context,
                  const boost::asio::ip::tcp::endpoint &Address,
                  std::uint32_t CallsPerSecond);

  void publishDocument(std::string Text);
  void setDocumentMode(PlatformMode Mode);
  void setInstancesMode(PlatformMode Mode);

  /// Adds or replaces an entry of the list; seen by readers after the lag.
  void setInstance(const document::PublishedInstance &Instance);

  /// Removes an entry of the list; seen by readers after the lag.
  void removeInstance(const framework::InstanceName &Name);

  void setListLag(framework::Duration Lag) { ListLag_ = Lag; }

  /// Readers that cannot reach the service, by instance name; `*` means all.
  void setBlockedReaders(std::set<std::string> Names);

  std::uint64_t callCount() const { return CallCount_; }
  std::uint64_t refusedCount() const { return RefusedCount_; }
  std::uint32_t maxCallsInSecond() const { return MaxCallsInSecond_; }
  std::uint64_t documentRevision() const { return Document_.last().Revision_; }

private:
  using Clock = std::chrono::steady_clock;

  struct Watch {
    const PublishedValue *Value_ = nullptr;
    std::uint64_t NewerThan_ = 0;
    Clock::time_point End_;
  };

  void receive(SessionId Session, const HttpRequest &Request);
  bool countCall();
  bool isBlocked(const HttpRequest &Request) const;
  void answer(SessionId Session, const PublishedValue &Value);
  void answerStatus(SessionId Session, unsigned Status);
  void answerWatches();
  void scheduleList();
  void publishList();
  void runTimer();

  boost::asio::io_context &Context_;
  std::uint32_t CallsPerSecond_;
  PublishedValue Document_;
  PublishedValue List_;
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
