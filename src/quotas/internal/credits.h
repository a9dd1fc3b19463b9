#ifndef CRANBERRYSPOOL_QUOTAS_INTERNAL_CREDITS_H
#define CRANBERRYSPOOL_QUOTAS_INTERNAL_CREDITS_H

#include "framework/time.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace cranberryspool::quotas {

/// Millionths of a credit, so that the shares of slow workspaces add up.
using Credits = std::int64_t;

constexpr Credits OneCredit = 1'000'000;

/// Amounts above a million credits do not occur and are rejected.
constexpr std::uint64_t MaxCredits = std::uint64_t{1'000'000} * OneCredit;

inline Credits toCredits(double Value) {
  return std::llround(std::min(Value, 1e6) * static_cast<double>(OneCredit));
}

/// Returns the credits that a rate per second yields in a time.
inline Credits creditsIn(double PerSecond, framework::Duration Time) {
  return toCredits(PerSecond * std::chrono::duration<double>(Time).count());
}

/// Returns the time in which a rate per second yields an amount, at most an
/// hour.
inline framework::Duration timeFor(Credits Amount, double PerSecond) {
  constexpr double MaxSeconds = 3600;
  const double Seconds =
      static_cast<double>(Amount) / static_cast<double>(OneCredit) / PerSecond;
  return std::chrono::ceil<framework::Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxSeconds)));
}

} // namespace cranberryspool::quotas

#endif // CRANBERRYSPOOL_QUOTAS_INTERNAL_CREDITS_H
