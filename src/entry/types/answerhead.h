#ifndef CRANBERRYSPOOL_ENTRY_TYPES_ANSWERHEAD_H
#define CRANBERRYSPOOL_ENTRY_TYPES_ANSWERHEAD_H

#include "framework/ids.h"
#include "routing/types/loadreport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryspool::entry {

/// What a target says in the head of its answer.
struct AnswerHead {
  /// The attempt that it answers.
  std::optional<std::string> AttemptId_;
  bool IsNotRun_ = false;
  /// The name of the target that answers.
  std::optional<std::string> TargetId_;
  std::optional<framework::Incarnation> StartId_;
  std::optional<routing::LoadReport> Report_;
  std::optional<std::uint64_t> WarmupMs_;
  /// True when it bears the mark that only the target can set.
  bool HasProof_ = false;
  /// True when the body is encoded, which nobody asked for.
  bool IsEncoded_ = false;
};

} // namespace cranberryspool::entry

#endif // CRANBERRYSPOOL_ENTRY_TYPES_ANSWERHEAD_H
