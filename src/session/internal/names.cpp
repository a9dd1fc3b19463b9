#include "session/internal/names.h"

#include "calls/attemptidgenerator.h"

#include <array>
#include <cstddef>

namespace cranberryspool::session {

namespace {

/// The names of `calls::AttemptFailure`, in the order of its enumerators.
constexpr std::array<std::string_view, 5> AttemptFailureNames{
    "connection-closed", "connection-reset", "truncated", "malformed",
    "answer-too-large"};

/// The names of `calls::WriteState`, in the order of its enumerators.
constexpr std::array<std::string_view, 2> WriteStateNames{"nothing", "maybe"};

/// The names of `TargetMode`, in the order of its enumerators.
constexpr std::array<std::string_view, 9> TargetModeNames{
    "answer",   "fail",  "shed",   "drain", "cross",
    "truncate", "reset", "silent", "refuse"};

template <typename Value, std::size_t Count>
std::optional<Value> parseName(const std::array<std::string_view, Count> &Names,
                               std::string_view Name) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Names[Index] == Name)
      return static_cast<Value>(Index);
  return std::nullopt;
}

} // namespace

std::string_view nameOf(calls::AttemptFailure Value) {
  return AttemptFailureNames.at(static_cast<std::size_t>(Value));
}

std::string_view nameOf(calls::WriteState Value) {
  return WriteStateNames.at(static_cast<std::size_t>(Value));
}

std::uint64_t sequenceNumber(framework::AttemptId Attempt) {
  constexpr std::uint64_t Mask =
      (1ULL << calls::AttemptIdGenerator::CounterBits) - 1;
  return Attempt.value() & Mask;
}

std::optional<TargetMode> parseTargetMode(std::string_view Name) {
  return parseName<TargetMode>(TargetModeNames, Name);
}

std::optional<calls::AttemptFailure>
parseAttemptFailure(std::string_view Name) {
  return parseName<calls::AttemptFailure>(AttemptFailureNames, Name);
}

} // namespace cranberryspool::session
