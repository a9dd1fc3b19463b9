#ifndef CRANBERRYSPOOL_ADMISSION_INTERNAL_CONCURRENCYLIMIT_H
#define CRANBERRYSPOOL_ADMISSION_INTERNAL_CONCURRENCYLIMIT_H

#include "admission/types/servicecapacity.h"
#include "document/types/urgency.h"
#include "framework/time.h"

#include <cstdint>

namespace cranberryspool::admission {

/// How many attempts of one service this instance has in flight at most. Grows
/// while answers come as fast as they do at low load, shrinks when they take
/// longer or targets shed (additive increase, multiplicative decrease).
class ConcurrencyLimit {
public:
  void setCapacity(ServiceCapacity Capacity);

  /// Takes the time of an answer.
  void recordAnswered(framework::Duration Elapsed, bool WasAtLimit,
                      framework::Instant Now);

  /// Takes a shed attempt or a timeout.
  void recordOverload(framework::Instant Now);

  /// The limit for calls of the urgency; that for urgent ones counts all calls
  /// and leaves them room when ordinary calls have met theirs.
  std::uint32_t limit(document::Urgency Urgency) const;

  /// Moving average of the time of an answer; zero before the first.
  framework::Duration averageTime() const;

private:
  void shrink(framework::Instant Now);

  double Slots_ = 1;
  double Floor_ = 1;
  double Limit_ = 0;
  double AverageMicros_ = 0;
  /// The average at low load; it follows upwards slowly.
  double BaseMicros_ = 0;
  framework::Instant ShrunkAt_{};
};

} // namespace cranberryspool::admission

#endif // CRANBERRYSPOOL_ADMISSION_INTERNAL_CONCURRENCYLIMIT_H
