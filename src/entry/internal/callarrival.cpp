#include "entry/internal/callarrival.h"

#include "entry/types/callerrequest.h"
#include "entry/types/callmetadata.h"

#include <string>

namespace cranberryspool::entry {

decision::CallArrived makeArrival(const CallerRequest &Request,
                                  std::string_view Host,
                                  const CallMetadata &Metadata) {
  decision::CallArrived Arrival;
  Arrival.Method_ = Request.Method_;
  Arrival.Path_ = Request.Target_.substr(0, Request.Target_.find('?'));
  Arrival.Host_ = std::string(Host);
  Arrival.Urgency_ = Metadata.Urgency_;
  Arrival.Timeout_ = Metadata.Timeout_;
  Arrival.Key_ = Metadata.Key_;
  Arrival.Depth_ = Metadata.Depth_;
  Arrival.Attempt_ = Metadata.Attempt_;
  return Arrival;
}

} // namespace cranberryspool::entry
