#ifndef CRANBERRYSPOOL_REPORT_TYPES_CALLCOUNTBUCKET_H
#define CRANBERRYSPOOL_REPORT_TYPES_CALLCOUNTBUCKET_H

#include "framework/time.h"
#include "report/types/callcount.h"
#include "report/types/objectivekey.h"

namespace cranberryspool::report {

/// The number of calls of one key that ended within a time bucket.
struct CallCountBucket {
  ObjectiveKey Key_;
  framework::WallTime Start_;
  framework::Duration Width_{};
  CallCount Count_;

  friend bool operator==(const CallCountBucket &,
                         const CallCountBucket &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_CALLCOUNTBUCKET_H
