#include "session/internal/names.h"

#include "calls/attemptidgenerator.h"

#include <array>
#include <cstddef>

namespace cranberryspool::session {

namespace {

constexpr std::array<std::string_view, 5> Failures{
    "connection-closed", "connection-reset", "truncated", "malformed",
    "answer-too-large"};

constexpr std::array<std::string_view, 2> WriteStates{"nothing", "maybe"};

constexpr std::array<std::string_view, 9> Modes{"answer", "fail",   "shed",
                                                "drain",  "cross",  "truncate",
                                                "reset",  "silent", "refuse"};

template <typename Value, std::size_t Count>
std::optional<Value> find(const std::array<std::string_view, Count> &Names,
                          std::string_view Name) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Names[Index] == Name)
      return static_cast<Value>(Index);
  return std::nullopt;
}

} // namespace

std::string_view nameOf(calls::AttemptFailure Value) {
  return Failures.at(static_cast<std::size_t>(Value));
}

std::string_view nameOf(calls::WriteState Value) {
  return WriteStates.at(static_cast<std::size_t>(Value));
}

std::uint64_t shortNumber(framework::AttemptId Attempt) {
  constexpr std::uint64_t Mask =
      (1ULL << calls::AttemptIdGenerator::CounterBits) - 1;
  return Attempt.value() & Mask;
}

std::optional<TargetMode> targetModeOf(std::string_view Name) {
  return find<TargetMode>(Modes, Name);
}

std::optional<calls::AttemptFailure> attemptFailureOf(std::string_view Name) {
  return find<calls::AttemptFailure>(Failures, Name);
}

} // namespace cranberryspool::session
