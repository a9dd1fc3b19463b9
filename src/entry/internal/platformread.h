#ifndef CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H
#define CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H

#include "entry/httpgetclient.h"
#include "entry/types/platformcommand.h"

#include <memory>
#include <optional>

namespace cranberryspool::entry {

class PlatformReader;

/// One read or watch of the document service or the instance list.
class PlatformRead : public std::enable_shared_from_this<PlatformRead> {
public:
  PlatformRead(const PlatformCommand &Command, PlatformReader &Reader);

  void start();

private:
  void onResponse(const std::optional<HttpGetClient::Response> &Response);
  void reportUnchanged();
  void reportPublished(const HttpGetClient::Response &Response);
  void reportUnavailable();
  bool isDocument() const;
  std::optional<framework::Revision> newerThan() const;
  framework::Duration waitDuration() const;
  std::string requestTarget() const;

  const PlatformCommand Command_;
  PlatformReader &Reader_;
  std::shared_ptr<HttpGetClient> Client_;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_INTERNAL_PLATFORMREAD_H
