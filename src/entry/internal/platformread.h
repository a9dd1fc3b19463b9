#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H

#include "entry/httpgetclient.h"
#include "entry/types/platformcommand.h"

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class PlatformReader;

/// One read or watch of the platform.
class PlatformRead : public std::enable_shared_from_this<PlatformRead> {
public:
  PlatformRead(const PlatformCommand &Order, PlatformReader &Reader);

  void start();

private:
  void onAnswer(const std::optional<HttpGetClient::Response> &Given);
  void tellUnchanged();
  void tellPublished(const HttpGetClient::Response &Given);
  void fail();
  bool isDocument() const;
  std::optional<framework::Revision> newerThan() const;
  framework::Duration wait() const;
  std::string question() const;

  const PlatformCommand Order_;
  PlatformReader &Reader_;
  std::shared_ptr<HttpGetClient> Exchange_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H
