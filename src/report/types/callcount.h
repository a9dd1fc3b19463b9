#ifndef CRANBERRYSPOOL_REPORT_TYPES_CALLCOUNT_H
#define CRANBERRYSPOOL_REPORT_TYPES_CALLCOUNT_H

#include <cstdint>

namespace cranberryspool::report {

/// The numbers of calls that met their service-level objective (good) and of
/// those that did not (bad).
struct CallCount {
  std::uint64_t Good_ = 0;
  std::uint64_t Bad_ = 0;

  CallCount &operator+=(const CallCount &Other) {
    Good_ += Other.Good_;
    Bad_ += Other.Bad_;
    return *this;
  }

  friend bool operator==(const CallCount &, const CallCount &) = default;
};

} // namespace cranberryspool::report

#endif // CRANBERRYSPOOL_REPORT_TYPES_CALLCOUNT_H
